#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_FLEET_SHARE_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_FLEET_SHARE_HPP

#include "core/gateway_datagram.hpp"

#include <set>
#include <vector>

namespace cranberrywood {

/** What a VM knows at its start of the fleet and of earlier processes. */
struct fleet_origin
{
    /** The fleet starts for the first time: no earlier process exists. */
    bool first_start = false;
    data_centre_id data_centre;
    /** All data centres that have VMs; empty if they are not known. */
    std::vector<data_centre_id> data_centres;
};

/**
 * Decides which share of a fleet-wide limit the VMs that a VM knows may divide.
 * VMs that restarted together know only each other: in a network partition,
 * VMs that did not restart may still use their slices of the limit. Until a
 * VM with a longer memory confirms the fleet, a part of the limit is left to
 * them; the more, and the longer, if seeds or data centres are out of sight.
 */
class fleet_share
{
public:
    fleet_share(fleet_origin origin, time_point started);

    /** Learns from a datagram of another VM. */
    void received(const gateway_datagram& datagram);

    /**
     * Returns whether the known members count as all VMs that may hold slices,
     * provided that this VM knows all members that its peers report. It has
     * heard from a part of its seeds, between 0 and 1.
     */
    bool confirmed(double heard_seeds, time_point now) const;
    /** Returns the share, greater than 0 and at most 1. */
    double usable(double heard_seeds, time_point now) const;

    data_centre_id data_centre() const
    {
        return m_origin.data_centre;
    }

private:
    double seen_data_centres() const;

    fleet_origin m_origin;
    time_point m_started;
    bool m_confirmed_by_peer = false;
    /** Data centres of this VM and of all VMs heard from. */
    std::set<data_centre_id> m_seen;
};

} // namespace cranberrywood

#endif
