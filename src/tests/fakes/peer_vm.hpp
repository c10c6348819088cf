#ifndef CRANBERRYWOOD_TESTS_FAKES_PEER_VM_HPP
#define CRANBERRYWOOD_TESTS_FAKES_PEER_VM_HPP

#include "core/gateway_peers.hpp"

namespace cranberrywood::fakes {

/** The parts of a VM that exchange datagrams: members, rates, news. */
struct peer_vm
{
    peer_vm(member_identity identity, incarnation process,
            std::shared_ptr<const catalogue> settings, random_source& random,
            time_point now)
        : members(std::move(identity), random, now), rates(members),
          limits(servers, members), conditions(servers, members),
          relays(members, random), peers(members, process, rates, limits,
                                         quarantine, conditions, relays, now)
    {
        rates.catalogue_changed(std::move(settings), now);
    }

    member_directory members;
    rate_slices rates;
    server_table servers;
    server_limits limits;
    server_conditions conditions;
    crash_quarantine quarantine;
    relay_peers relays;
    gateway_peers peers;
};

} // namespace cranberrywood::fakes

#endif
