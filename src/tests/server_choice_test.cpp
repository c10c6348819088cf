#include "systems/servers/server_choice.hpp"
#include "systems/servers/server_directory.hpp"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(server_choice)
{
    server_table servers;
    seeded_random random{11};
    member_directory members{{"10.0.0.1:7000", {}}, random, time_point(1h)};
    server_limits limits{servers, members};
    cold_limits cold_servers{servers, members};
    server_conditions conditions{servers, members};
    server_choice choice{servers,    limits,         cold_servers,
                         conditions, members.self(), random};
    server_observer observer{servers};
    time_point now{1h};
    const service_id service{7};
    const data_centre_id local{1};
    const data_centre_id remote{2};
    std::uint64_t exchanges = 0;

    void add(std::uint64_t id, data_centre_id data_centre,
             duration cold = duration(0))
    {
        backend_server_entry e;
        e.id = backend_server_id(id);
        e.service = service;
        e.data_centre = data_centre;
        e.cold_remaining = cold;
        servers.put(e, now);
    }
    exchange_id send(std::uint64_t id)
    {
        const exchange_id exchange(++exchanges);
        observer.sent(backend_server_id(id), exchange, now);
        return exchange;
    }
    choice_criteria criteria(std::uint32_t max_in_flight = 3)
    {
        choice_criteria t;
        t.service = service;
        t.own_data_centre = local;
        t.max_in_flight = max_in_flight;
        return t;
    }
    /** Returns how often each server is chosen in 300 choices. */
    std::map<std::uint64_t, int> choice_counts(const choice_criteria& t)
    {
        std::map<std::uint64_t, int> counts;
        for (int i = 0; i < 300; ++i) {
            const auto chosen = choice.choose(t, now);
            if (const auto* id = std::get_if<backend_server_id>(&chosen)) {
                ++counts[id->value()];
            }
        }
        return counts;
    }
};

TEST(server_choice, an_unresponsive_server_gets_no_first_sends)
{
    add(1, local);
    add(2, remote);
    add(3, remote);
    send(1);
    now += 61ms;
    const auto counts = choice_counts(criteria());
    CHECK_EQUAL(0, counts.count(1));
    CHECK_EQUAL(300, counts.at(2) + counts.at(3));
}

// Shards have one server in each data centre, and a VM of a large fleet sends
// to one shard about once a second. Spread evenly, it would open a connection
// for most sends, and all VMs together hold more than a server accepts.
TEST(server_choice, calm_first_sends_stay_in_the_data_centre)
{
    add(1, local);
    add(2, remote);
    add(3, data_centre_id(3));
    const auto counts = choice_counts(criteria());
    CHECK(counts.at(1) >= 270);
}

TEST(server_choice, a_slow_or_busy_local_server_gives_sends_away)
{
    add(1, local);
    add(2, remote);
    add(3, data_centre_id(3));
    for (int i = 0; i < 8; ++i) {
        for (const std::uint64_t id : {1U, 2U, 3U}) {
            const exchange_id exchange = send(id);
            now += id == 1 ? 45ms : 15ms;
            observer.answered(backend_server_id(id), exchange, true, now);
        }
    }
    CHECK_EQUAL(0, choice_counts(criteria()).count(1));
}

TEST(server_choice, an_answer_ends_the_suspicion)
{
    add(1, local);
    const exchange_id exchange = send(1);
    now += 120ms;
    CHECK(server_choice::is_suspect(*servers.find(backend_server_id(1)), now));
    observer.answered(backend_server_id(1), exchange, true, now);
    CHECK(!server_choice::is_suspect(*servers.find(backend_server_id(1)), now));
}

TEST(server_choice, the_last_server_is_used_even_when_suspect)
{
    add(1, local);
    send(1);
    now += 200ms;
    CHECK_EQUAL(300, choice_counts(criteria()).at(1));
    choice_criteria extra = criteria();
    extra.extra = true;
    CHECK(std::holds_alternative<no_usable_server>(choice.choose(extra, now)));
}

TEST(server_choice, cold_servers_come_after_warm_ones)
{
    add(1, local, 3s);
    add(2, remote);
    CHECK_EQUAL(300, choice_counts(criteria()).at(2));
    now += 3s;
    CHECK(choice_counts(criteria()).at(1) > 0);
}

TEST(server_choice, a_server_at_capacity_is_passed_over)
{
    add(1, local);
    add(2, remote);
    send(1);
    CHECK_EQUAL(300, choice_counts(criteria(1)).at(2));
    send(2);
    CHECK(std::holds_alternative<all_at_capacity>(
        choice.choose(criteria(1), now)));
}

TEST(server_choice, tried_draining_and_evacuated_servers_are_excluded)
{
    add(1, local);
    add(2, remote);
    choice_criteria t = criteria();
    t.tried = {backend_server_id(1)};
    CHECK_EQUAL(300, choice_counts(t).at(2));
    choice.evacuations().listed({remote}, now);
    CHECK(std::holds_alternative<no_usable_server>(choice.choose(t, now)));
    choice.evacuations().listed({}, now);
    servers.find(backend_server_id(2))->entry.draining = true;
    CHECK(std::holds_alternative<no_usable_server>(choice.choose(t, now)));
}

TEST(server_choice, a_slow_server_is_tried_again_after_a_while)
{
    add(1, local);
    add(2, local);
    for (int i = 0; i < 10; ++i) {
        const exchange_id slow = send(1);
        const exchange_id fast = send(2);
        now += 10ms;
        observer.answered(backend_server_id(2), fast, true, now);
        now += 100ms;
        observer.answered(backend_server_id(1), slow, true, now);
    }
    CHECK_EQUAL(300, choice_counts(criteria()).at(2));
    servers.find(backend_server_id(2))->latency = 60ms;
    servers.find(backend_server_id(2))->latency_at = now + 8s;
    now += 8s;
    CHECK(choice_counts(criteria()).at(1) > 0);
}

TEST(server_choice, consecutive_failures_lengthen_the_avoidance)
{
    add(1, local);
    duration previous{0};
    for (int i = 0; i < 3; ++i) {
        observer.failed(backend_server_id(1), send(1), now);
        const duration pause =
            servers.find(backend_server_id(1))->avoid_until - now;
        CHECK(pause > previous);
        previous = pause;
    }
    observer.answered(backend_server_id(1), send(1), true, now);
    CHECK(servers.find(backend_server_id(1))->avoid_until <= now);
}

// Both other servers of a shard were suspect of a pause in half of the cases in
// which a query of a large fleet waited for a slow one.
TEST(server_choice, a_hedge_of_a_large_fleet_may_go_to_a_suspect_server)
{
    add(1, local);
    send(1);
    now += 200ms;
    choice_criteria extra = criteria();
    extra.extra = true;
    extra.keep_to_two = true;
    CHECK(std::holds_alternative<backend_server_id>(choice.choose(extra, now)));
}

// A VM of a large fleet that draws any two servers holds connections to all of
// them, and all VMs together hold more than a server accepts.
TEST(server_choice, a_vm_of_a_large_fleet_keeps_to_two_servers)
{
    for (std::uint64_t id = 1; id <= 9; ++id) {
        add(id, remote);
    }
    choice_criteria few = criteria();
    few.keep_to_two = true;
    const auto calm = choice_counts(few);
    CHECK_EQUAL(1, calm.size());
    send(calm.begin()->first);
    few.max_in_flight = 1;
    const auto busy = choice_counts(few);
    CHECK_EQUAL(1, busy.size());
    CHECK(busy.begin()->first != calm.begin()->first);
}
