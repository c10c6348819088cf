#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_MEMBER_DIRECTORY_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_MEMBER_DIRECTORY_HPP

#include "core/gateway_datagram.hpp"
#include "core/random_source.hpp"
#include "systems/members/fleet_share.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace cranberrywood {

/** Address of a VM and the seeds for discovering other members. */
struct member_identity
{
    /** `host:port` at which this VM receives datagrams. */
    std::string self;
    /** Addresses of VMs that may know other members; some may be stale. */
    std::vector<std::string> seeds;
    /** Fleet size assumed before the fleet is known. */
    std::uint32_t assumed_vms = 32;
    fleet_origin origin = {};
};

/**
 * The VMs of the fleet, discovered from the seeds by heartbeats that list
 * known members. The fleet size errs on the high side: a VM counts until it
 * has been silent for a long time.
 */
class member_directory
{
public:
    member_directory(member_identity identity, random_source& random,
                     time_point started);

    /** Updates the directory from a datagram and its sender's address. */
    void received(const std::string& from, const gateway_datagram& datagram,
                  time_point now);

    /** Returns the addresses to send the next heartbeat to. */
    std::vector<std::string> heartbeat_targets(time_point now);
    /** Fills in a datagram's fleet size and settled state. */
    void fill(gateway_datagram& datagram, time_point now) const;
    /** Adds hints of members, chosen at random if there are many. */
    void add_hints(gateway_datagram& datagram, time_point now);

    /**
     * Returns whether a heartbeat's sender is still discovering the fleet and
     * knows fewer VMs than this one.
     */
    bool knows_more_than(const gateway_datagram& datagram) const;

    /** Returns how many VMs may share the limits of the fleet. */
    std::uint32_t fleet_size(time_point now) const;
    /** Returns the share of a limit that the known VMs may divide. */
    double usable_share(time_point now) const;
    /** Returns whether the VM at an address was heard from recently. */
    bool is_live(const std::string& address, time_point now) const;
    /**
     * Returns the first `most` of all known VMs, this one included, in an
     * order that depends on the key and is the same at every VM.
     */
    std::vector<std::string> ranked(std::uint64_t key, std::size_t most) const;
    /** Returns the known fleet size, without the assumed minimum. */
    std::uint32_t known_fleet_size() const
    {
        return std::max(m_reported_size,
                        static_cast<std::uint32_t>(m_heard.size() + 1));
    }
    /** Returns how long this process has run. */
    duration age(time_point now) const
    {
        return now - m_started;
    }
    /** Returns whether discovery of the fleet has had time to complete. */
    bool settled(time_point now) const;
    /**
     * Returns whether every VM of the reported fleet is known, or was given the
     * time to be. A VM that knows only a part of the fleet ranks too high.
     */
    bool knows_all(time_point now) const;
    /** Changes whenever a VM is added or evicted. */
    std::uint64_t version() const
    {
        return m_version;
    }
    const std::string& self() const
    {
        return m_identity.self;
    }
    /** Returns the addresses from which the fleet is discovered. */
    const std::vector<std::string>& seeds() const
    {
        return m_identity.seeds;
    }
    /** Returns the VMs heard from recently, in random order. */
    std::vector<std::string> live(time_point now);

private:
    /** Returns the silence after which a VM no longer gets requests. */
    duration live_timeout() const;
    void evict_silent(time_point now);
    void record_heard(const std::string& address, time_point at);
    bool has_discovered(double share, time_point now) const;
    bool is_alone() const;
    double heard_seeds() const;
    void shuffle(std::vector<std::string>& addresses);

    member_identity m_identity;
    fleet_share m_share;
    random_source& m_random;
    time_point m_started;
    std::map<std::string, time_point> m_heard;
    std::uint64_t m_version = 1;
    bool m_settled_peer_seen = false;
    std::uint32_t m_reported_size = 1;
    time_point m_reported_at;
};

} // namespace cranberrywood

#endif
