#include "systems/servers/server_choice.hpp"
#include "systems/servers/server_evidence.hpp"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

constexpr duration usual = 28ms;
const service_id service{7};
const data_centre_id own_data_centre{1};

/** A VM's knowledge of three servers of one shard. */
struct vm
{
    explicit vm(const std::string& address)
        : members({address, {}}, random, time_point(1h))
    {
        for (std::uint64_t id = 1; id <= 3; ++id) {
            backend_server_entry entry;
            entry.id = backend_server_id(id);
            entry.service = service;
            entry.data_centre = data_centre_id(id);
            entry.slots = 6;
            servers.put(entry, time_point(1h));
        }
    }
    /** Returns how many of 100 first sends go to each server. */
    std::map<std::uint64_t, int> choices(time_point now, bool extra = false)
    {
        std::map<std::uint64_t, int> counts{{1, 0}, {2, 0}, {3, 0}};
        choice_criteria criteria;
        criteria.service = service;
        criteria.own_data_centre = own_data_centre;
        criteria.keep_to_two = true;
        criteria.extra = extra;
        for (int i = 0; i < 100; ++i) {
            const auto chosen = choice.choose(criteria, now);
            if (const auto* id = std::get_if<backend_server_id>(&chosen)) {
                ++counts[id->value()];
            }
        }
        return counts;
    }
    void late(std::uint64_t id, time_point sent_at)
    {
        evidence.late({backend_server_id(id), sent_at, usual}, sent_at + 70ms,
                      out);
    }
    void fail(std::uint64_t id, time_point sent_at)
    {
        evidence.failed({backend_server_id(id), sent_at, usual}, sent_at + 15ms,
                        out);
    }
    void answer(std::uint64_t id, time_point sent_at, duration taken)
    {
        evidence.answered({backend_server_id(id), sent_at, usual},
                          sent_at + taken, out);
    }
    bool impaired(std::uint64_t id, time_point now) const
    {
        return conditions.is_impaired(backend_server_id(id), now);
    }
    /** Passes on what the VM announces. */
    void announce_to(vm& peer, time_point now)
    {
        const auto suspected = suspicions.take_local_suspicions();
        peer.suspicions.apply_remote(suspected, now);
        peer.conditions.apply_remote(suspected, now, peer.out);
        peer.conditions.apply_remote(conditions.take_reports(), now);
    }

    seeded_random random{5};
    member_directory members;
    server_table servers;
    server_limits limits{servers, members};
    cold_limits cold{servers, members};
    server_conditions conditions{servers, members};
    server_suspicions suspicions{servers};
    server_evidence evidence{suspicions, conditions};
    server_choice choice{servers,    limits,         cold,
                         conditions, members.self(), random};
    gateway_commands out;
};

} // namespace

TEST_GROUP(server_conditions)
{
    vm first{"10.0.0.1:7000"};
    vm second{"10.0.0.2:7000"};
    time_point start{2h};

    /** A server is slow for longer than a pause. */
    void slow_server(vm & at, std::uint64_t id)
    {
        for (const duration sent : {0ms, 320ms, 340ms, 360ms}) {
            at.late(id, start + sent);
        }
    }
};

// All requests that meet one pause are late, many at a time.
TEST(server_conditions, a_pause_impairs_no_server)
{
    for (int i = 0; i < 20; ++i) {
        first.late(1, start + i * 12ms);
    }
    CHECK(!first.impaired(1, start + 400ms));
}

// Each VM meets a slow server once in two seconds; together they meet it at
// once.
TEST(server_conditions, late_sends_of_several_vms_impair_a_server_at_all)
{
    first.late(1, start);
    first.announce_to(second, start + 75ms);
    second.late(1, start + 310ms);
    second.announce_to(first, start + 385ms);
    first.late(1, start + 330ms);
    first.announce_to(second, start + 405ms);
    second.late(1, start + 350ms);
    second.announce_to(first, start + 425ms);
    CHECK(first.impaired(1, start + 430ms));
    CHECK(second.impaired(1, start + 430ms));
}

TEST(server_conditions, late_sends_a_second_apart_are_chance)
{
    for (int i = 0; i < 5; ++i) {
        first.late(1, start + i * 1100ms);
    }
    CHECK(!first.impaired(1, start + 5s));
}

TEST(server_conditions, a_usual_answer_in_between_clears_the_evidence)
{
    first.late(1, start);
    first.answer(1, start + 280ms, usual);
    first.late(1, start + 320ms);
    first.late(1, start + 340ms);
    first.late(1, start + 360ms);
    CHECK(!first.impaired(1, start + 450ms));
}

// One request to a server of a large pool may be all that is seen of it for
// seconds.
TEST(server_conditions, an_answer_that_no_pause_explains_impairs_at_once)
{
    first.answer(1, start, 330ms);
    CHECK(first.impaired(1, start + 330ms));
}

TEST(server_conditions, two_failures_within_a_second_impair_a_server)
{
    first.fail(1, start);
    CHECK(!first.impaired(1, start + 20ms));
    first.fail(1, start + 500ms);
    CHECK(first.impaired(1, start + 520ms));
    second.fail(1, start);
    second.fail(1, start + 1500ms);
    CHECK(!second.impaired(1, start + 1600ms));
}

TEST(server_conditions, an_impaired_server_gets_no_sends_while_others_can)
{
    slow_server(first, 1);
    const auto counts = first.choices(start + 1s);
    CHECK_EQUAL(0, counts.at(1));
    CHECK_EQUAL(100, counts.at(2) + counts.at(3));
    CHECK_EQUAL(0, first.choices(start + 1s, true).at(1));
}

TEST(server_conditions, usual_answers_to_probes_end_a_condition_everywhere)
{
    slow_server(first, 1);
    first.announce_to(second, start + 500ms);
    CHECK(second.impaired(1, start + 500ms));
    first.answer(1, start + 800ms, usual);
    CHECK(first.impaired(1, start + 850ms));
    first.answer(1, start + 1300ms, usual);
    first.announce_to(second, start + 1340ms);
    CHECK(!first.impaired(1, start + 1340ms));
    CHECK(!second.impaired(1, start + 1340ms));
    CHECK_EQUAL(0, first.conditions.impaired_count());
    CHECK_EQUAL(0, second.conditions.impaired_count());
}

// A probing VM meets the server once in two seconds, too seldom to see a
// recovery alone within a second.
TEST(server_conditions, usual_answers_of_two_vms_end_a_condition)
{
    slow_server(first, 1);
    first.announce_to(second, start + 500ms);
    first.answer(1, start + 800ms, usual);
    const auto reports = first.conditions.take_reports();
    for (int copy = 0; copy < 3; ++copy) {
        second.conditions.apply_remote(reports, start + 831ms + copy * 5ms);
    }
    CHECK(second.impaired(1, start + 850ms));
    second.answer(1, start + 900ms, usual);
    CHECK(!second.impaired(1, start + 930ms));
}

// A server that loses 4 of 10 answers gives two usual ones in a row all the
// time.
TEST(server_conditions, a_failing_server_needs_four_usual_answers)
{
    first.fail(1, start);
    first.fail(1, start + 100ms);
    for (int i = 1; i <= 4; ++i) {
        CHECK(first.impaired(1, start + 200ms));
        first.answer(1, start + 200ms + i * 100ms, usual);
    }
    CHECK(!first.impaired(1, start + 1s));
}

TEST(server_conditions, a_condition_without_evidence_ends)
{
    slow_server(first, 1);
    CHECK(first.impaired(1, start + 3s));
    CHECK(!first.impaired(1, start + 3400ms));
    first.conditions.drop_expired(start + 3400ms, first.out);
    CHECK_EQUAL(0, first.conditions.impaired_count());
}

TEST(server_conditions, reports_that_are_old_or_impossible_change_nothing)
{
    const backend_server_id known(1);
    const std::vector<server_condition_report> reports = {
        {known, true, false, 200ms, 4s},
        {known, true, false, 200ms, duration(-1)},
        {known, true, false, duration(-1), 1ms},
        {known, true, false, duration::max(), 1ms},
        {backend_server_id(99), true, false, 200ms, 1ms},
        {known, false, false, 0ms, 1ms}};
    first.conditions.apply_remote(reports, start);
    CHECK(!first.impaired(1, start));
    CHECK_EQUAL(0, first.conditions.impaired_count());
}

TEST(server_conditions, reports_in_any_order_give_the_same_state)
{
    const backend_server_id server(1);
    const server_condition_report impaired{server, true, false, 200ms, 1s};
    const server_condition_report recovered{server, false, false, 0ms, 500ms};
    first.conditions.apply_remote({impaired, recovered, impaired}, start);
    second.conditions.apply_remote({impaired, impaired, recovered}, start);
    CHECK(!first.impaired(1, start));
    CHECK(!second.impaired(1, start));
    second.conditions.apply_remote(
        std::vector<server_condition_report>{{server, true, false, 200ms, 0ms}},
        start);
    second.conditions.apply_remote(
        std::vector<server_condition_report>{recovered}, start);
    CHECK(second.impaired(1, start));
}

// A VM that lost the datagram with the recovery would repeat the condition in
// its heartbeats, and all others would take it up again.
TEST(server_conditions, a_repeated_condition_does_not_undo_a_recovery)
{
    slow_server(first, 1);
    first.announce_to(second, start + 500ms);
    first.answer(1, start + 800ms, usual);
    first.answer(1, start + 1300ms, usual);
    first.conditions.take_reports();
    const time_point now = start + 1400ms;
    first.conditions.apply_remote(second.conditions.reports_to_repeat(now),
                                  now);
    CHECK(!first.impaired(1, now));
    CHECK(second.impaired(1, now));
    second.conditions.apply_remote(first.conditions.reports_to_repeat(now),
                                   now);
    CHECK(!second.impaired(1, now));
    CHECK_EQUAL(0, second.conditions.impaired_count());
}

// A VM of a large fleet may have no request when its probe is due.
TEST(server_conditions, a_vm_that_missed_a_probe_sends_the_next_one_earlier)
{
    const backend_server_id server(1);
    first.servers.find(server)->entry.slots = 1;
    slow_server(first, 1);
    first.answer(1, start + 400ms, 1200ms);
    choice_criteria criteria;
    criteria.service = service;
    criteria.own_data_centre = own_data_centre;
    criteria.may_probe = true;
    for (const duration at : {1700ms, 2300ms}) {
        const auto chosen = first.choice.choose(criteria, start + at);
        CHECK(std::get<backend_server_id>(chosen) == server);
        first.conditions.record_sent(server, start + at);
    }
}

TEST(server_conditions, a_vm_that_sends_often_goes_by_its_own_observations)
{
    first.servers.find(backend_server_id(1))->send_gap = 100ms;
    slow_server(first, 1);
    CHECK(!first.impaired(1, start + 500ms));
}

TEST(server_conditions, a_server_that_starts_anew_has_no_condition)
{
    slow_server(first, 1);
    first.conditions.forget(backend_server_id(1));
    CHECK(!first.impaired(1, start + 500ms));
    CHECK_EQUAL(0, first.conditions.impaired_count());
}
