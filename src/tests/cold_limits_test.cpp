#include "systems/servers/cold_limits.hpp"

#include "core/random_source.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <deque>
#include <memory>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

const backend_server_id server{31};
constexpr duration cold_period = 3s;

std::string address(std::size_t vm)
{
    return "10.0." + std::to_string(vm / 200) + "." +
           std::to_string(vm % 200 + 1) + ":7000";
}

std::shared_ptr<const catalogue> settings_of(double cold_rate)
{
    auto settings = std::make_shared<catalogue>();
    service_entry entry;
    entry.name = "orders";
    entry.cold_rate = cold_rate;
    entry.cold_period = cold_period;
    settings->add_service(entry);
    return settings;
}

/** One VM that knows the whole fleet. */
struct cold_vm
{
    cold_vm(std::size_t self, std::size_t vms, double cold_rate,
            const server_table& servers, random_source& random, time_point now)
        : members({address(self), {address(0), address(1)}}, random, now),
          limits(servers, members)
    {
        gateway_datagram datagram;
        datagram.fleet_size = static_cast<std::uint32_t>(vms);
        datagram.settled = true;
        for (std::size_t vm = 0; vm < vms; ++vm) {
            if (vm != self) {
                members.received(address(vm), datagram, now);
            }
        }
        limits.catalogue_changed(settings_of(cold_rate));
    }

    member_directory members;
    cold_limits limits;
};

} // namespace

TEST_GROUP(cold_limits)
{
    seeded_random random{5};
    server_table servers;
    time_point now{1h};
    gateway_commands out;

    void list(duration cold_remaining)
    {
        backend_server_entry entry;
        entry.id = server;
        entry.name = "s";
        entry.service = id_of<service_id>("orders");
        entry.cold_remaining = cold_remaining;
        entry.sequence = ++sequence;
        servers.put(entry, now);
    }
    const server_row& row() const
    {
        return *servers.find(server);
    }
    bool is_open(cold_vm & vm)
    {
        return vm.limits.opens_at(row(), now) <= now;
    }
    std::uint64_t sequence = 0;
};

// FAILBACK: cold servers got 26 requests a second where 12.5 are allowed.
TEST(cold_limits, all_vms_together_keep_to_the_rate_of_a_cold_server)
{
    struct fleet_row
    {
        std::size_t vms;
        double rate;
    };
    const fleet_row rows[] = {{3, 5.0},  {8, 0.5},  {8, 5.0},   {8, 40.0},
                              {24, 5.0}, {84, 1.0}, {84, 20.0}, {295, 100.0}};
    for (const fleet_row& r : rows) {
        std::vector<std::unique_ptr<cold_vm>> fleet;
        for (std::size_t i = 0; i < r.vms; ++i) {
            fleet.push_back(std::make_unique<cold_vm>(i, r.vms, r.rate, servers,
                                                      random, now));
        }
        now += 2s;
        list(10s);
        std::deque<time_point> sent;
        std::size_t most = 0;
        std::size_t total = 0;
        // All VMs press, pause for a time, and press again at once.
        for (const time_point start = now; now < start + 9s; now += 5ms) {
            const bool pause = now > start + 4s && now < start + 6s;
            for (const auto& one : fleet) {
                if (pause || !is_open(*one)) {
                    continue;
                }
                one->limits.record_sent(row(), now);
                sent.push_back(now);
                ++total;
            }
            while (!sent.empty() && now - sent.front() >= 1s) {
                sent.pop_front();
            }
            most = std::max(most, sent.size());
        }
        CHECK(static_cast<double>(most) <= 1.5 * r.rate + 5.0);
        CHECK(static_cast<double>(total) >= 0.7 * 7.0 * r.rate);
    }
}

TEST(cold_limits, a_server_that_is_warm_is_not_limited)
{
    cold_vm vm(0, 8, 1.0, servers, random, now);
    now += 2s;
    list(2s);
    vm.limits.record_sent(row(), now);
    CHECK(!is_open(vm));
    CHECK(vm.limits.opens_at(row(), now) <= now + 2s);
    now += 2s;
    CHECK(is_open(vm));
    vm.limits.record_sent(row(), now);
    CHECK(is_open(vm));
}

TEST(cold_limits, a_service_without_a_rate_is_not_limited)
{
    cold_vm vm(0, 8, 0.0, servers, random, now);
    now += 2s;
    list(3s);
    for (int i = 0; i < 50; ++i) {
        CHECK(is_open(vm));
        vm.limits.record_sent(row(), now);
    }
    vm.limits.refused(server, now, out);
    CHECK(out.empty());
}

// A server that crashed is back before its entry says that it is cold.
TEST(cold_limits, a_server_that_refused_connections_counts_as_cold)
{
    cold_vm vm(0, 3, 2.0, servers, random, now);
    now += 2s;
    list(0s);
    vm.limits.refused(server, now, out);
    CHECK_EQUAL(1U, out.size());
    vm.limits.refused(server, now + 1s, out);
    CHECK_EQUAL(1U, out.size());
    vm.limits.record_sent(row(), now);
    CHECK(!is_open(vm));
    now += cold_period + 1s;
    CHECK(is_open(vm));
}

TEST(cold_limits, requests_to_the_warm_server_count_once_it_is_cold)
{
    cold_vm vm(0, 3, 2.0, servers, random, now);
    now += 2s;
    list(0s);
    vm.limits.record_sent(row(), now);
    list(5s);
    CHECK(!is_open(vm));
}

TEST(cold_limits, a_vm_that_does_not_know_the_fleet_sends_nothing_to_it)
{
    member_directory members({address(9), {address(0)}}, random, now);
    cold_limits limits(servers, members);
    limits.catalogue_changed(settings_of(5.0));
    list(3s);
    CHECK(limits.opens_at(row(), now) == now + 3s);
}
