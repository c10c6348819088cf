#include "systems/members/memberships.hpp"

namespace cranberrywood {

namespace {

// Maximum time for which the old witness set alone keeps a lease valid.
// Together with the propagation time of a revision, 18 s, it must stay below
// unrestricted_delay.
constexpr duration old_set_lifetime = std::chrono::seconds(15);

// Time for which groups whose witness set changed are granted only to VMs that
// know both sets.
constexpr duration unrestricted_delay = std::chrono::seconds(35);

// Maximum time for which acquisitions need the old witness set too. It is
// bounded because removed members of the old set never answer again.
constexpr duration both_sets_duration = std::chrono::seconds(40);

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
    m_old_set_valid_until = now + old_set_lifetime;
    m_unrestricted_from = now + unrestricted_delay;
    m_previous_until = now + both_sets_duration;
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
