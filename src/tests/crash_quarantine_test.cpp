#include "systems/queries/crash_quarantine.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

const fingerprint print{7};
const service_id service{100};

/** Crashes of one request and what they amount to. */
struct strike_row
{
    const char* name;
    /** Times of each send and of the crash under it, in milliseconds. */
    std::vector<std::pair<int, int>> crashes;
    /** Time after the last crash for which the request is refused. */
    duration refused;
};

} // namespace

TEST_GROUP(crash_quarantine)
{
    crash_quarantine vm;
    crash_quarantine peer;
    gateway_commands out;
    time_point start{1h};

    request_crash crash(std::uint64_t server, int sent_ms, int lost_ms) const
    {
        return {print, backend_server_id(server), service,
                start + std::chrono::milliseconds(sent_ms),
                start + std::chrono::milliseconds(lost_ms)};
    }
    void record(std::uint64_t server, int sent_ms, int lost_ms)
    {
        const request_crash c = crash(server, sent_ms, lost_ms);
        vm.record_crash(c, c.lost_at, out);
    }
    duration refused_at(time_point now) const
    {
        return vm.refused_for(print, now).value_or(duration(0));
    }
};

TEST(crash_quarantine, strikes_count_sends_after_the_crash_before)
{
    const strike_row rows[] = {
        {"one crash", {{0, 5}}, 0s},
        {"retried at once on a second server", {{0, 5}, {5, 9}}, 30s},
        {"sent again by its caller", {{0, 5}, {2000, 2005}}, 30s},
        {"ten shards of one query", {{0, 5}, {0, 5}, {1, 6}, {0, 7}}, 0s},
        {"hedged before the crash", {{0, 30}, {20, 40}}, 0s},
        {"after both", {{0, 5}, {5, 9}, {31000, 31005}}, 10min},
        {"a fourth time",
         {{0, 5}, {5, 9}, {31000, 31005}, {700000, 700005}},
         20min},
    };
    for (const strike_row& row : rows) {
        vm = {};
        std::uint64_t server = 0;
        for (const auto& [sent, lost] : row.crashes) {
            record(++server, sent, lost);
        }
        const time_point last =
            start + std::chrono::milliseconds(row.crashes.back().second);
        if (refused_at(last) != row.refused) {
            FAIL(row.name);
        }
        CHECK(vm.is_suspect(print));
    }
}

TEST(crash_quarantine, a_completion_clears_crashes_before_it_was_sent)
{
    record(1, 0, 5);
    record(2, 5, 9);
    vm.record_completion(print, service, start + 8ms, start + 20ms, out);
    CHECK(refused_at(start + 20ms) == 0s);
    CHECK(vm.is_suspect(print));
    vm.record_completion(print, service_id(101), start + 1s, start + 1s, out);
    CHECK(vm.is_suspect(print));
    vm.record_completion(print, service, start + 1s, start + 1s, out);
    CHECK(!vm.is_suspect(print));
    CHECK_EQUAL(0, vm.size());
}

TEST(crash_quarantine, peers_merge_crashes_and_do_not_count_one_twice)
{
    record(1, 0, 5);
    record(2, 5, 9);
    const auto reports = vm.take_reports(start + 10ms);
    CHECK_EQUAL(2, reports.size());
    CHECK(vm.take_reports(start + 10ms).empty());
    for (int copy = 0; copy < 3; ++copy) {
        peer.apply_remote("vm", reports, {}, start + 13ms, out);
    }
    // The peer had the same request on the first of these servers.
    peer.record_crash(crash(1, 1, 5), start + 14ms, out);
    CHECK(peer.refused_for(print, start + 14ms).value() > 29900ms);
    CHECK(peer.refused_for(print, start + 14ms).value() <= 30s);
    CHECK(peer.take_reports(start + 14ms).empty());
}

TEST(crash_quarantine, datagrams_with_unequal_delays_do_not_lose_a_strike)
{
    record(1, 0, 5);
    peer.apply_remote("vm", vm.take_reports(start + 10ms), {}, start + 15ms,
                      out);
    record(2, 5, 9);
    peer.apply_remote("vm", vm.take_reports(start + 10ms), {}, start + 11ms,
                      out);
    CHECK(peer.refused_for(print, start + 15ms).has_value());
    // A third strike that the peer sees itself counts on from there.
    peer.record_crash(crash(3, 31000, 31005), start + 31010ms, out);
    CHECK(peer.refused_for(print, start + 31010ms).value() > 9min);
}

TEST(crash_quarantine, heartbeats_repeat_what_a_datagram_lost)
{
    record(1, 0, 5);
    CHECK(vm.reports_to_repeat(start + 10ms).empty());
    record(2, 5, 9);
    peer.apply_remote("vm", vm.reports_to_repeat(start + 500ms), {},
                      start + 502ms, out);
    CHECK(peer.refused_for(print, start + 502ms).has_value());
}

TEST(crash_quarantine, a_heartbeat_names_the_last_strikes_of_a_query)
{
    for (std::uint64_t shard = 1; shard <= 20; ++shard) {
        record(shard, 0, 5);
    }
    record(21, 6, 9);
    peer.apply_remote("vm", vm.reports_to_repeat(start + 500ms), {},
                      start + 500ms, out);
    CHECK(peer.refused_for(print, start + 500ms).has_value());
}

TEST(crash_quarantine, every_refused_request_is_repeated_in_turn)
{
    constexpr std::uint64_t requests = 50;
    for (std::uint64_t i = 1; i <= requests; ++i) {
        for (const int at : {0, 10}) {
            request_crash c = crash(2 * i + (at > 0 ? 1 : 0), at, at + 5);
            c.print = fingerprint(i);
            vm.record_crash(c, start + 20ms, out);
        }
    }
    for (int heartbeat = 0; heartbeat < 25; ++heartbeat) {
        const auto reports = vm.reports_to_repeat(start + 30ms);
        CHECK(reports.size() <= 4);
        peer.apply_remote("vm", reports, {}, start + 30ms, out);
    }
    CHECK_EQUAL(requests, peer.size());
}

TEST(crash_quarantine, a_late_report_does_not_undo_a_clearance)
{
    record(1, 0, 5);
    record(2, 5, 9);
    const auto late = vm.reports_to_repeat(start + 100ms);
    vm.record_completion(print, service, start + 50ms, start + 60ms, out);
    CHECK(!vm.is_suspect(print));
    vm.apply_remote("peer", late, {}, start + 110ms, out);
    CHECK(!vm.is_suspect(print));
    // A peer that missed the clearance gets it by a heartbeat.
    peer.apply_remote("vm", late, {}, start + 110ms, out);
    peer.apply_remote("vm", {}, vm.clearances_to_repeat(start + 500ms),
                      start + 500ms, out);
    CHECK(!peer.is_suspect(print));
}

TEST(crash_quarantine, the_table_is_bounded_and_keeps_refused_requests)
{
    record(1, 0, 5);
    record(2, 5, 9);
    for (std::uint64_t i = 0; i < 10000; ++i) {
        request_crash c = crash(1, 20, 25);
        c.print = fingerprint(1000 + i);
        vm.record_crash(c, start + 25ms, out);
    }
    CHECK_EQUAL(4096, vm.size());
    CHECK(vm.refused_for(print, start + 30ms).has_value());
    vm.drop_expired(start + 2h);
    CHECK_EQUAL(0, vm.size());
}
