#include "systems/members/holder_hints.hpp"

#include <algorithm>

namespace cranberrywood {

void holder_hints::record(role_group_id group, vm_id holder, time_point until)
{
    m_hints[group] = {holder, until};
}

void holder_hints::invalidate(role_group_id group)
{
    m_hints.erase(group);
    mark_for_query(group);
}

void holder_hints::mark_for_query(role_group_id group)
{
    const bool marked = std::find(m_to_query.begin(), m_to_query.end(),
                                  group) != m_to_query.end();
    if (!marked) {
        m_to_query.push_back(group);
    }
}

vm_id holder_hints::find(role_group_id group, time_point now) const
{
    const auto found = m_hints.find(group);
    const bool valid = found != m_hints.end() && now < found->second.until;
    return valid ? found->second.holder : vm_id();
}

std::vector<role_group_id> holder_hints::take_due_queries(time_point now,
                                                          duration interval)
{
    for (auto it = m_queried_at.begin(); it != m_queried_at.end();) {
        it = now - it->second >= interval ? m_queried_at.erase(it)
                                          : std::next(it);
    }
    std::vector<role_group_id> due;
    for (const role_group_id group : std::exchange(m_to_query, {})) {
        if (m_queried_at.emplace(group, now).second) {
            due.push_back(group);
        }
    }
    return due;
}

} // namespace cranberrywood
