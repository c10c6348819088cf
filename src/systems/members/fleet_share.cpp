#include "systems/members/fleet_share.hpp"

#include "systems/members/member_memory.hpp"

#include <algorithm>
#include <utility>

namespace cranberrywood {

namespace {

/** Share beyond the whole of a limit that the users allow. */
constexpr double allowed_overshoot = 0.25;
/**
 * Share that restarted VMs use which see no sign of others. Two such groups
 * stay within the whole and the overshoot, and so does one beside VMs that did
 * not restart, if these are no more than five eighths of the fleet.
 */
constexpr double restarted_share = (1.0 + allowed_overshoot) / 2.0;
/** Time for which a share is held back without a sign of other VMs. */
constexpr duration longest_short_partition = std::chrono::seconds(20);

} // namespace

fleet_share::fleet_share(fleet_origin origin, time_point started)
    : m_origin(std::move(origin)),
      m_started(started), m_seen{m_origin.data_centre}
{
}

// VMs of earlier versions do not say whether they restarted, and count as
// confirmed.
void fleet_share::received(const gateway_datagram& datagram)
{
    m_confirmed_by_peer = m_confirmed_by_peer ||
                          (datagram.settled && !datagram.fleet_unconfirmed);
    if (datagram.data_centre.is_set()) {
        m_seen.insert(datagram.data_centre);
    }
}

// Without a sign of other VMs, callers are not refused for longer than a
// partition of seconds lasts.
bool fleet_share::confirmed(double heard_seeds, time_point now) const
{
    const bool none_missing = heard_seeds >= 1.0 && seen_data_centres() >= 1.0;
    const duration held =
        none_missing ? longest_short_partition : member_memory;
    return m_origin.first_start || m_confirmed_by_peer ||
           now - m_started >= held;
}

// The overshoot may be used in any case: VMs that did not restart use no more
// than the whole.
double fleet_share::usable(double heard_seeds, time_point now) const
{
    if (confirmed(heard_seeds, now)) {
        return 1.0;
    }
    return std::max(allowed_overshoot, std::min(restarted_share * heard_seeds,
                                                seen_data_centres()));
}

// VMs are spread evenly over data centres, so a data centre without a known VM
// may hold that part of the fleet.
double fleet_share::seen_data_centres() const
{
    const auto& all = m_origin.data_centres;
    if (all.empty()) {
        return 1.0;
    }
    const auto seen =
        std::count_if(all.begin(), all.end(),
                      [&](data_centre_id id) { return m_seen.count(id) != 0; });
    return std::max(1.0, static_cast<double>(seen)) /
           static_cast<double>(all.size());
}

} // namespace cranberrywood
