#include "systems/members/holder_hints.hpp"

#include <algorithm>

namespace cranberrywood {

void holder_hints::learn(role_group_id group, vm_id holder, time_point until)
{
    m_hints[group] = {holder, until};
}

void holder_hints::forget(role_group_id group)
{
    m_hints.erase(group);
    want(group);
}

void holder_hints::want(role_group_id group)
{
    const bool marked =
        std::find(m_wanted.begin(), m_wanted.end(), group) != m_wanted.end();
    if (!marked) {
        m_wanted.push_back(group);
    }
}

vm_id holder_hints::find(role_group_id group, time_point now) const
{
    const auto found = m_hints.find(group);
    const bool valid = found != m_hints.end() && now < found->second.until;
    return valid ? found->second.holder : vm_id();
}

std::vector<role_group_id> holder_hints::take_due_queries(time_point now,
                                                          duration pause)
{
    for (auto it = m_asked.begin(); it != m_asked.end();) {
        it = now - it->second >= pause ? m_asked.erase(it) : std::next(it);
    }
    std::vector<role_group_id> due;
    for (const role_group_id group : std::exchange(m_wanted, {})) {
        if (m_asked.emplace(group, now).second) {
            due.push_back(group);
        }
    }
    return due;
}

} // namespace cranberrywood
