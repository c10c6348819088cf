#ifndef CRANBERRYWOOD_TESTS_FAKES_SENDING_VM_HPP
#define CRANBERRYWOOD_TESTS_FAKES_SENDING_VM_HPP

#include "systems/servers/server_choice.hpp"
#include "systems/servers/server_directory.hpp"
#include "systems/servers/server_evidence.hpp"

namespace cranberrywood::fakes {

using namespace std::chrono_literals;

constexpr std::uint64_t vm_count = 86;
constexpr std::uint64_t shard_count = 12;
constexpr std::uint64_t server_count = 3 * shard_count;
constexpr duration query_gap = 1000000us / 120;
constexpr duration usual = 28ms;
/** Age at which a send is late, and at which its query gives up. */
constexpr duration late_age = 70ms;
constexpr duration target = 300ms;
constexpr duration one_way = 3ms;
constexpr duration heartbeat_interval = 500ms;
constexpr int slow_factor = 8;
/** Start and slow_end of the slowdown. */
constexpr time_point slow_begin(2h + 5s);
constexpr time_point slow_end = slow_begin + 8s;

inline bool becomes_slow(std::uint64_t server)
{
    return server % 7 == 3;
}

/** What a VM that sends to these servers knows of them. */
struct sending_vm
{
    explicit sending_vm(std::uint64_t index)
        : random(index + 1), own(index % 4 + 1),
          members({"10.0.0." + std::to_string(index + 1) + ":7000", {}}, random,
                  time_point(1h))
    {
        for (std::uint64_t id = 1; id <= server_count; ++id) {
            backend_server_entry entry;
            entry.id = backend_server_id(id);
            entry.service = service_id((id - 1) / 3 + 1);
            entry.data_centre = data_centre_id((id - 1) % 3 + 1);
            entry.slots = 6;
            servers.put(entry, time_point(1h));
        }
    }

    seeded_random random;
    data_centre_id own;
    bool alive = true;
    /** Datagrams with news that may be sent now, as in gateway_peers. */
    double budget = 150;
    time_point budget_at{2h};
    member_directory members;
    server_table servers;
    server_limits limits{servers, members};
    cold_limits cold{servers, members};
    server_conditions conditions{servers, members};
    server_suspicions suspicions{servers};
    server_evidence evidence{suspicions, conditions};
    server_choice choice{servers,    limits,         cold,
                         conditions, members.self(), random};
    server_observer observer{servers};
    gateway_commands out;
};

} // namespace cranberrywood::fakes

#endif
