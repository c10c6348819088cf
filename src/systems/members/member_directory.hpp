#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_MEMBER_DIRECTORY_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_MEMBER_DIRECTORY_HPP

#include "core/gateway_datagram.hpp"
#include "core/random_source.hpp"

#include <algorithm>
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
    void fill(gateway_datagram& datagram, time_point now);

    /** Returns how many VMs may share the limits of the fleet. */
    std::uint32_t fleet_size(time_point now) const;
    /** Returns whether the VM at an address was heard from a moment ago. */
    bool is_live(const std::string& address, time_point now) const;
    /**
     * Returns the first of all known VMs, this one included, in an order
     * that depends on the key and is the same at every VM.
     */
    std::vector<std::string> ranked(std::uint64_t key, std::size_t most) const;
    /** Returns how many VMs were heard of, without assuming others. */
    std::uint32_t known_fleet_size() const
    {
        return std::max(m_told_size,
                        static_cast<std::uint32_t>(m_heard.size() + 1));
    }
    /** Returns how long this VM has run. */
    duration age(time_point now) const
    {
        return now - m_started;
    }
    /** Returns whether this VM has had the time to know the fleet. */
    bool settled(time_point now) const;
    /** Changes whenever a VM is learnt or forgotten. */
    std::uint64_t version() const
    {
        return m_version;
    }
    const std::string& self() const
    {
        return m_identity.self;
    }
    /** Returns VMs that were heard from a moment ago, in random order. */
    std::vector<std::string> live(time_point now);

private:
    void forget_silent(time_point now);
    void heard(const std::string& address, time_point at);
    bool alone() const;
    void shuffle(std::vector<std::string>& addresses);

    member_identity m_identity;
    random_source& m_random;
    time_point m_started;
    std::map<std::string, time_point> m_heard;
    std::uint64_t m_version = 1;
    bool m_told_by_settled = false;
    std::uint32_t m_told_size = 1;
    time_point m_told_at;
};

} // namespace cranberrywood

#endif
