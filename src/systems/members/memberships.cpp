#include "systems/members/memberships.hpp"

namespace cranberrywood {

namespace {

// Longest time for which a lease goes on with the old witness set alone. It and
// the spread of a revision, 18 s, must end before newcomers may acquire.
constexpr duration carry_limit = std::chrono::seconds(15);

// Time for which groups whose set changed go to VMs that know both sets only.
constexpr duration newcomers_wait = std::chrono::seconds(35);

// Longest time for which acquisitions need the old witness set too. Members
// of the old set that were removed never answer again, so it must end.
constexpr duration joint_limit = std::chrono::seconds(40);

} // namespace

bool memberships::take(std::shared_ptr<const settings_index> settings,
                       time_point now)
{
    const revision_number membership = role_layout::membership_of(*settings);
    if (m_current != nullptr && m_current->membership() == membership) {
        m_current->update_settings(std::move(settings));
        return false;
    }
    m_previous = std::move(m_current);
    m_old_set_valid_until = now + carry_limit;
    m_unrestricted_from = now + newcomers_wait;
    m_previous_until = now + joint_limit;
    m_current = std::make_unique<role_layout>(std::move(settings));
    return true;
}

revision_number memberships::change() const
{
    if (m_previous == nullptr) {
        return {};
    }
    return revision_number(stable_hash(m_previous->membership().value(),
                                       m_current->membership().value()));
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
    if (m_current != nullptr &&
        (m_current->membership() == membership || change() == membership)) {
        return m_current.get();
    }
    if (m_previous != nullptr && m_previous->membership() == membership) {
        return m_previous.get();
    }
    return nullptr;
}

} // namespace cranberrywood
