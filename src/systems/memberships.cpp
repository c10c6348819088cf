#include "systems/memberships.hpp"

namespace cranberrywood {

namespace {

// Longest time for which acquisitions need the old witness set too. Members
// of the old set that were removed never answer again, so it must end.
constexpr duration joint_limit = std::chrono::seconds(30);

} // namespace

bool memberships::take(std::shared_ptr<const settings_index> settings,
                       time_point now)
{
    const revision_number membership = role_layout::membership_of(*settings);
    if (m_current != nullptr && m_current->membership() == membership) {
        m_current->renew(std::move(settings));
        return false;
    }
    m_previous = std::move(m_current);
    m_previous_until = now + joint_limit;
    m_current = std::make_unique<role_layout>(std::move(settings));
    return true;
}

bool memberships::expire(time_point now)
{
    if (m_previous == nullptr || now < m_previous_until) {
        return false;
    }
    m_previous.reset();
    return true;
}

const role_layout* memberships::find(revision_number membership) const
{
    if (m_current != nullptr && m_current->membership() == membership) {
        return m_current.get();
    }
    if (m_previous != nullptr && m_previous->membership() == membership) {
        return m_previous.get();
    }
    return nullptr;
}

} // namespace cranberrywood
