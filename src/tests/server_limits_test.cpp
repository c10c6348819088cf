#include "systems/servers/server_limits.hpp"

#include "core/random_source.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <deque>
#include <memory>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

const backend_server_id server{31};

std::string address(std::size_t vm)
{
    return "10.0." + std::to_string(vm / 200) + "." +
           std::to_string(vm % 200 + 1) + ":7000";
}

/** One VM that knows the whole fleet, or that part which restarted with it. */
struct limiting_vm
{
    limiting_vm(std::size_t self, std::size_t vms, const server_table& servers,
                random_source& random, time_point now, bool restarted = false)
        : members({address(self), {address(0), address(1)}}, random, now),
          limits(servers, members)
    {
        gateway_datagram datagram;
        datagram.fleet_size = static_cast<std::uint32_t>(vms);
        datagram.settled = true;
        datagram.fleet_unconfirmed = restarted;
        for (std::size_t vm = 0; vm < vms; ++vm) {
            if (vm != self) {
                members.received(address(vm), datagram, now);
            }
        }
    }

    member_directory members;
    server_limits limits;
};

/** A limit, a fleet, and what the users allow of it in four seconds. */
struct fleet_row
{
    std::size_t vms;
    double per_second;
};

} // namespace

TEST_GROUP(server_limits)
{
    seeded_random random{5};
    server_table servers;
    time_point now{1h};
    gateway_commands out;
    std::unique_ptr<limiting_vm> vm;

    void setup() override
    {
        backend_server_entry entry;
        entry.id = server;
        entry.name = "s";
        servers.put(entry, now);
        vm = std::make_unique<limiting_vm>(0, 4, servers, random, now);
        now += 2s;
    }
    bool is_open()
    {
        return vm->limits.opens_at(server, now) <= now;
    }
    void name_limit(std::optional<double> per_second, duration sent_before)
    {
        vm->limits.observe(server, per_second, now - sent_before, now, out);
    }
};

// LIMIT: all VMs together sent far more than a server had named.
TEST(server_limits, all_vms_together_keep_to_the_limit)
{
    const fleet_row rows[] = {{3, 0.0},  {3, 6.9},   {7, 0.5},   {7, 6.9},
                              {8, 36.7}, {24, 2.0},  {24, 18.0}, {84, 0.1},
                              {84, 5.0}, {84, 40.0}, {295, 7.0}, {295, 300.0}};
    for (const fleet_row& row : rows) {
        std::vector<std::unique_ptr<limiting_vm>> fleet;
        for (std::size_t i = 0; i < row.vms; ++i) {
            fleet.push_back(std::make_unique<limiting_vm>(i, row.vms, servers,
                                                          random, now));
        }
        now += 2s;
        std::deque<time_point> sent;
        std::size_t most = 0;
        std::size_t total = 0;
        const time_point start = now;
        // All VMs press, pause for long, and press again at once.
        for (; now < start + 60s; now += 5ms) {
            const bool pause = now > start + 25s && now < start + 45s;
            for (const auto& one : fleet) {
                if (now == start) {
                    one->limits.observe(server, row.per_second, now, now, out);
                }
                if (pause || one->limits.opens_at(server, now) > now) {
                    continue;
                }
                one->limits.record_sent(server, now);
                one->limits.observe(server, row.per_second, now, now, out);
                sent.push_back(now);
                ++total;
            }
            while (!sent.empty() && now - sent.front() >= 4s) {
                sent.pop_front();
            }
            most = std::max(most, sent.size());
        }
        const double allowed = 1.5 * 4.0 * row.per_second + 5.0;
        const double asked = row.per_second * 40.0;
        if (static_cast<double>(most) > allowed ||
            static_cast<double>(total) < 0.8 * asked - 10.0) {
            const std::string what = std::to_string(row.vms) + " VMs, " +
                                     std::to_string(row.per_second) +
                                     " a second: " + std::to_string(most) +
                                     " in 4 s, " + std::to_string(total) +
                                     " in all";
            FAIL(what.c_str());
        }
    }
}

TEST(server_limits, a_server_that_names_no_limit_is_open)
{
    CHECK(is_open());
    name_limit(std::nullopt, 5ms);
    CHECK(is_open());
    CHECK_EQUAL(0, vm->limits.size());
    CHECK(vm->limits.take_reports(now).empty());
}

TEST(server_limits, a_limit_spaces_the_requests_of_a_vm)
{
    name_limit(8.0, 5ms);
    CHECK(!is_open());
    now += 500ms;
    CHECK(is_open());
    vm->limits.record_sent(server, now);
    now += 499ms;
    CHECK(!is_open());
    now += 1ms;
    CHECK(is_open());
}

TEST(server_limits, an_answer_without_a_limit_ends_it)
{
    name_limit(8.0, 5ms);
    now += 10ms;
    // On its way when the limit began.
    name_limit(std::nullopt, 12ms);
    CHECK(!is_open());
    name_limit(std::nullopt, 4ms);
    CHECK(is_open());
}

TEST(server_limits, a_higher_limit_shortens_the_wait)
{
    name_limit(0.1, 5ms);
    name_limit(80.0, 5ms);
    now += 50ms;
    CHECK(is_open());
}

TEST(server_limits, peers_tell_each_other_of_limits_and_their_end)
{
    limiting_vm peer(1, 4, servers, random, now - 2s);
    name_limit(8.0, 5ms);
    const auto told = vm->limits.take_reports(now);
    CHECK_EQUAL(1, told.size());
    CHECK(vm->limits.take_reports(now).empty());
    peer.limits.apply_remote("vm", told, now, out);
    CHECK(peer.limits.opens_at(server, now) > now);
    CHECK(peer.limits.take_reports(now).empty());
    now += 1s;
    name_limit(8.2, 5ms);
    CHECK(vm->limits.take_reports(now).empty());
    now += 1s;
    name_limit(std::nullopt, 5ms);
    // The datagram is lost; a heartbeat repeats it.
    CHECK_EQUAL(1, vm->limits.take_reports(now).size());
    now += 500ms;
    peer.limits.apply_remote("vm", vm->limits.reports_to_repeat(now), now, out);
    CHECK(peer.limits.opens_at(server, now) <= now);
}

TEST(server_limits, an_older_report_does_not_replace_a_newer_one)
{
    limiting_vm peer(1, 4, servers, random, now - 2s);
    name_limit(8.0, 5ms);
    const auto old = vm->limits.take_reports(now);
    now += 1s;
    peer.limits.observe(server, 80.0, now, now, out);
    auto late = old;
    late[0].age = 1s;
    peer.limits.apply_remote("vm", late, now, out);
    CHECK(peer.limits.opens_at(server, now) <= now + 50ms);
}

// Half of a fleet restarts behind a partition; the other half goes on.
TEST(server_limits, vms_that_restart_out_of_sight_use_a_part_of_the_limit)
{
    constexpr double limit = 100.0;
    std::vector<std::unique_ptr<limiting_vm>> fleet;
    for (std::size_t i = 0; i < 8; ++i) {
        const bool restarted = i < 4;
        fleet.push_back(std::make_unique<limiting_vm>(
            i, restarted ? 4 : 8, servers, random, now, restarted));
    }
    now += 2s;
    std::size_t sent = 0;
    const time_point start = now;
    for (; now < start + 4s; now += 1ms) {
        for (const auto& one : fleet) {
            if (now == start) {
                one->limits.observe(server, limit, now, now, out);
            }
            if (one->limits.opens_at(server, now) <= now) {
                one->limits.record_sent(server, now);
                ++sent;
            }
        }
    }
    CHECK(static_cast<double>(sent) <= 1.25 * 4.0 * limit);
    CHECK(static_cast<double>(sent) >= 4.0 * limit);
}

TEST(server_limits, a_server_that_starts_anew_has_no_limit)
{
    name_limit(1.0, 5ms);
    vm->limits.forget(server);
    CHECK(is_open());
}

TEST(server_limits, a_vm_that_does_not_know_the_fleet_only_enquires)
{
    member_directory members({address(9), {address(0)}}, random, now);
    server_limits limits(servers, members);
    limits.observe(server, 100.0, now, now, out);
    CHECK(limits.opens_at(server, now) > now + 1min);
}

TEST(server_limits, limits_of_servers_that_are_gone_are_dropped)
{
    name_limit(8.0, 5ms);
    vm->limits.drop_expired(now + 1h);
    CHECK_EQUAL(1, vm->limits.size());
    servers.remove(server);
    vm->limits.drop_expired(now + 1h);
    CHECK_EQUAL(0, vm->limits.size());
}
