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
    server_choice choice{servers, random};
    server_observer observer{servers};
    time_point now{1h};
    const service_id service{7};
    const data_centre_id here{1};
    const data_centre_id there{2};
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
    choice_criteria terms(std::uint32_t room = 3)
    {
        choice_criteria t;
        t.service = service;
        t.own_data_centre = here;
        t.max_in_flight = room;
        return t;
    }
    /** How often each server is chosen out of 300. */
    std::map<std::uint64_t, int> drawn(const choice_criteria& t)
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

TEST(server_choice, a_paused_server_gets_no_first_sends)
{
    add(1, here);
    add(2, there);
    add(3, there);
    send(1);
    now += 61ms;
    const auto counts = drawn(terms());
    CHECK_EQUAL(0, counts.count(1));
    CHECK_EQUAL(300, counts.at(2) + counts.at(3));
}

TEST(server_choice, an_answer_ends_the_suspicion)
{
    add(1, here);
    const exchange_id exchange = send(1);
    now += 120ms;
    CHECK(server_choice::is_suspect(*servers.find(backend_server_id(1)), now));
    observer.answered(backend_server_id(1), exchange, true, now);
    CHECK(!server_choice::is_suspect(*servers.find(backend_server_id(1)), now));
}

TEST(server_choice, the_last_server_is_used_even_when_suspect)
{
    add(1, here);
    send(1);
    now += 200ms;
    CHECK_EQUAL(300, drawn(terms()).at(1));
    choice_criteria extra = terms();
    extra.extra = true;
    CHECK(std::holds_alternative<no_usable_server>(choice.choose(extra, now)));
}

TEST(server_choice, cold_servers_come_after_warm_ones)
{
    add(1, here, 3s);
    add(2, there);
    CHECK_EQUAL(300, drawn(terms()).at(2));
    now += 3s;
    CHECK(drawn(terms()).at(1) > 0);
}

TEST(server_choice, a_full_server_leaves_room_to_others_or_none)
{
    add(1, here);
    add(2, there);
    send(1);
    CHECK_EQUAL(300, drawn(terms(1)).at(2));
    send(2);
    CHECK(
        std::holds_alternative<all_at_capacity>(choice.choose(terms(1), now)));
}

TEST(server_choice, tried_draining_and_evacuated_servers_are_left_out)
{
    add(1, here);
    add(2, there);
    choice_criteria t = terms();
    t.tried = {backend_server_id(1)};
    CHECK_EQUAL(300, drawn(t).at(2));
    choice.evacuated({there});
    CHECK(std::holds_alternative<no_usable_server>(choice.choose(t, now)));
    choice.evacuated({});
    servers.find(backend_server_id(2))->entry.draining = true;
    CHECK(std::holds_alternative<no_usable_server>(choice.choose(t, now)));
}

TEST(server_choice, a_slow_server_is_tried_again_after_a_while)
{
    add(1, here);
    add(2, here);
    for (int i = 0; i < 10; ++i) {
        const exchange_id slow = send(1);
        const exchange_id fast = send(2);
        now += 10ms;
        observer.answered(backend_server_id(2), fast, true, now);
        now += 100ms;
        observer.answered(backend_server_id(1), slow, true, now);
    }
    CHECK_EQUAL(300, drawn(terms()).at(2));
    servers.find(backend_server_id(2))->latency = 60ms;
    servers.find(backend_server_id(2))->latency_at = now + 8s;
    now += 8s;
    CHECK(drawn(terms()).at(1) > 0);
}

TEST(server_choice, failures_in_a_row_are_avoided_longer)
{
    add(1, here);
    duration last{0};
    for (int i = 0; i < 3; ++i) {
        observer.failed(backend_server_id(1), send(1), now);
        const duration pause =
            servers.find(backend_server_id(1))->avoid_until - now;
        CHECK(pause > last);
        last = pause;
    }
    observer.answered(backend_server_id(1), send(1), true, now);
    CHECK(servers.find(backend_server_id(1))->avoid_until <= now);
}
