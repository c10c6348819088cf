#include "systems/servers/server_choice.hpp"
#include "systems/servers/server_directory.hpp"
#include "systems/servers/server_suspicions.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(server_suspicions)
{
    server_table servers;
    seeded_random random{5};
    member_directory members{{"10.0.0.1:7000", {}}, random, time_point(1h)};
    server_limits limits{servers, members};
    cold_limits cold{servers, members};
    server_conditions conditions{servers, members};
    server_choice choice{servers,    limits,         cold,
                         conditions, members.self(), random};
    server_observer observer{servers};
    server_suspicions suspicions{servers};
    gateway_commands out;
    time_point now{1h};
    const backend_server_id first{1};
    const backend_server_id second{2};

    void setup() override
    {
        for (const backend_server_id id : {first, second}) {
            backend_server_entry entry;
            entry.id = id;
            entry.service = service_id(7);
            servers.put(entry, now);
        }
    }
    /** Returns how many of 100 first sends go to the first server. */
    int sends_to_first()
    {
        choice_criteria criteria;
        criteria.service = service_id(7);
        int count = 0;
        for (int i = 0; i < 100; ++i) {
            const auto chosen = choice.choose(criteria, now);
            count += std::get<backend_server_id>(chosen) == first ? 1 : 0;
        }
        return count;
    }
    /** Reports the first server as late; returns the announced term, or 0. */
    duration report_late()
    {
        suspicions.found({first, suspicion_cause::late, now - 70ms, 0ms, 0ms},
                         false, now, out);
        const auto announced = suspicions.take_local_suspicions();
        return announced.empty() ? duration(0) : announced.front().term;
    }
};

TEST(server_suspicions, a_late_server_gets_no_first_sends_for_a_term)
{
    CHECK(sends_to_first() > 0);
    CHECK(report_late() == 150ms);
    now += 149ms;
    CHECK_EQUAL(0, sends_to_first());
    now += 1ms;
    CHECK(sends_to_first() > 0);
}

TEST(server_suspicions, repeated_suspicion_doubles_the_term)
{
    const duration terms[] = {150ms, 300ms, 600ms, 1200ms, 2400ms, 2400ms};
    for (const duration term : terms) {
        CHECK(report_late() == term);
        now += term + 40ms;
    }
    now += 500ms;
    CHECK(report_late() == 150ms);
}

TEST(server_suspicions, a_current_suspicion_is_not_announced_again)
{
    report_late();
    now += 100ms;
    CHECK(report_late() == duration(0));
    now += 50ms;
    suspicions.apply_remote({{first, 300ms}}, now);
    CHECK(report_late() == duration(0));
    CHECK_EQUAL(0, sends_to_first());
}

TEST(server_suspicions, a_vm_continues_from_the_term_of_a_peer)
{
    suspicions.apply_remote({{first, 600ms}}, now);
    now += 599ms;
    CHECK_EQUAL(0, sends_to_first());
    now += 41ms;
    CHECK(report_late() == 1200ms);
}

TEST(server_suspicions, terms_announced_by_a_peer_are_bounded)
{
    const std::vector<server_suspicion> reported = {
        {first, 1h}, {second, duration(-1)}, {backend_server_id(99), 1s}};
    suspicions.apply_remote(reported, now);
    CHECK_EQUAL(0, sends_to_first());
    now += 2400ms;
    CHECK(sends_to_first() > 0);
    CHECK(servers.find(backend_server_id(99)) == nullptr);
}

TEST(server_suspicions, a_vm_that_sends_often_relies_on_its_own_observations)
{
    for (std::uint64_t i = 1; i <= 20; ++i) {
        observer.sent(first, exchange_id(i), now);
        observer.answered(first, exchange_id(i), true, now);
        now += 10ms;
    }
    CHECK(report_late() == duration(0));
    CHECK(sends_to_first() > 0);
}

TEST(server_suspicions, a_restarted_server_is_not_suspect)
{
    report_late();
    backend_server_entry again = servers.find(first)->entry;
    again.born_ms += 1;
    again.sequence += 1;
    servers.put(again, now);
    CHECK(sends_to_first() > 0);
}

// Half of the servers refuse for seconds. A VM that sends to a server every few
// seconds would be refused anew each time after a term of 150 ms.
TEST(server_suspicions, a_refusal_counts_for_longer_at_a_vm_that_sends_seldom)
{
    server_row& row = *servers.find(first);
    const std::pair<duration, duration> table[] = {
        {0ms, 150ms}, {400ms, 200ms}, {2s, 1000ms}, {12s, 1200ms}};
    for (const auto& [send_gap, term] : table) {
        now += 10s;
        row.send_gap = send_gap;
        suspicions.found(
            {first, suspicion_cause::refused, now - 20ms, 0ms, 0ms}, false, now,
            out);
        const auto announced = suspicions.take_local_suspicions();
        CHECK_EQUAL(1, announced.size());
        CHECK(announced.front().term == term);
    }
    now += 10s;
    CHECK(report_late() == 150ms);
}

// The end of a term of 0 would count as the end of a suspicion, and the next
// ordinary pause would be taken for a repeated one.
TEST(server_suspicions, a_report_without_a_term_changes_nothing)
{
    suspicions.apply_remote({{first, duration(0), suspicion_cause::late},
                             {first, -1s, suspicion_cause::late}},
                            now);
    const server_row& row = *servers.find(first);
    CHECK(row.suspected_until == time_point());
    CHECK_EQUAL(0, row.suspicions_in_row);
    CHECK(report_late() == 150ms);
}
