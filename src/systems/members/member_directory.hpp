#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_MEMBER_DIRECTORY_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_MEMBER_DIRECTORY_HPP

#include "core/gateway_datagram.hpp"
#include "core/random_source.hpp"

#include <map>
#include <string>
#include <vector>

namespace cranberrywood {

/** Where a VM is, and whom it may ask for others. */
struct member_identity
{
    /** `host:port` at which this VM takes datagrams. */
    std::string self;
    /** Addresses of VMs that may know others; some may be stale. */
    std::vector<std::string> seeds;
    /** VMs that are assumed before the fleet is known. */
    std::uint32_t assumed_vms = 32;
};

/**
 * The VMs of the fleet, learnt by heartbeats that spread known members from
 * the seeds on. Its size errs upwards: a VM counts long after it was heard.
 */
class member_directory
{
public:
    member_directory(member_identity identity, random_source& random,
                     time_point started);

    /** Takes what a datagram from an address says of the fleet. */
    void received(const std::string& from, const gateway_datagram& datagram,
                  time_point now);

    /** Returns whom to send the next heartbeat. */
    std::vector<std::string> heartbeat_targets(time_point now);
    /** Writes what this VM knows of the fleet into a datagram. */
    void describe(gateway_datagram& datagram, time_point now);

    /** Returns how many VMs may share the limits of the fleet. */
    std::uint32_t fleet_size(time_point now) const;
    /** Returns VMs that were heard from a moment ago, in random order. */
    std::vector<std::string> live(time_point now);

private:
    void forget_silent(time_point now);
    bool settled(time_point now) const;
    bool alone() const;
    void shuffle(std::vector<std::string>& addresses);

    member_identity m_identity;
    random_source& m_random;
    time_point m_started;
    std::map<std::string, time_point> m_heard;
    bool m_told_by_settled = false;
    std::uint32_t m_told_size = 1;
    time_point m_told_at;
};

} // namespace cranberrywood

#endif
