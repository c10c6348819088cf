#include "fakes/peer_vm.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <memory>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

std::string address(std::size_t vm)
{
    return "10.0." + std::to_string(vm / 200) + "." +
           std::to_string(vm % 200 + 1) + ":7000";
}

constexpr std::uint64_t workspaces = 40;
/** Holders of a workspace with a small rate. */
constexpr std::size_t holders_wanted = 4;

std::shared_ptr<const catalogue> rate_limits()
{
    auto settings = std::make_shared<catalogue>();
    for (std::uint64_t id = 1; id <= workspaces; ++id) {
        workspace_entry entry;
        entry.id = workspace_id(id);
        entry.name = std::to_string(id);
        entry.rate = 5.0;
        entry.burst = 5.0;
        settings->add_workspace(entry, {entry.name});
    }
    return settings;
}

std::unique_ptr<fakes::peer_vm> make_vm(std::size_t self, random_source& random,
                                        time_point now)
{
    return std::make_unique<fakes::peer_vm>(
        member_identity{address(self), {address(0), address(1), address(2)}},
        incarnation(self + 1), rate_limits(), random, now);
}

/** VMs that start at once on a network that loses one datagram in `loss`. */
class peer_fleet
{
public:
    explicit peer_fleet(std::size_t vms, std::uint64_t seed,
                        std::uint64_t loss = 20)
        : m_random(seed), m_loss(loss)
    {
        for (std::size_t vm = 0; vm < vms; ++vm) {
            m_vms.push_back(make_vm(vm, m_random, m_now));
        }
    }
    void run(duration length)
    {
        const time_point end = m_now + length;
        while (m_now < end) {
            m_now += 10ms;
            for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
                if (vm < m_stopped_from) {
                    gateway_commands out;
                    m_vms[vm]->peers.tick(m_now, out);
                    deliver(vm, out);
                }
            }
        }
    }
    /** Stops the VMs from a number on. */
    void stop_from(std::size_t vm)
    {
        m_stopped_from = vm;
    }
    double settled_share() const
    {
        const auto settled =
            std::count_if(m_vms.begin(), m_vms.end(), [&](const auto& vm) {
                return vm->members.settled(m_now);
            });
        return static_cast<double>(settled) / static_cast<double>(m_vms.size());
    }
    /** Returns the share of the VMs that a VM takes for live. */
    double live_share(std::size_t vm)
    {
        return static_cast<double>(m_vms[vm]->members.live(m_now).size() + 1) /
               static_cast<double>(m_vms.size());
    }
    /** Returns how many VMs hold a slice of a workspace's rate. */
    std::size_t holders(workspace_id workspace)
    {
        std::size_t count = 0;
        for (const auto& vm : m_vms) {
            count += vm->rates.is_holder(workspace, m_now) ? 1 : 0;
        }
        return count;
    }
    /** Datagrams that each VM has sent on average. */
    double sent_by_each() const
    {
        return static_cast<double>(m_sent) / static_cast<double>(m_vms.size());
    }

private:
    void deliver(std::size_t from, const gateway_commands& commands)
    {
        for (const gateway_command& command : commands) {
            const auto* sent = std::get_if<send_datagram>(&command);
            if (sent == nullptr) {
                continue;
            }
            ++m_sent;
            const std::size_t to = number_of(sent->to);
            if (to >= m_stopped_from || m_random.below(m_loss) == 0) {
                continue;
            }
            gateway_commands out;
            m_vms[to]->peers.received({address(from), sent->datagram}, m_now,
                                      out);
            deliver(to, out);
        }
    }
    std::size_t number_of(const std::string& to) const
    {
        std::size_t vm = 0;
        while (m_vms[vm]->members.self() != to) {
            ++vm;
        }
        return vm;
    }

    seeded_random m_random;
    std::uint64_t m_loss;
    time_point m_now{1h};
    std::vector<std::unique_ptr<fakes::peer_vm>> m_vms;
    std::size_t m_stopped_from = SIZE_MAX;
    std::size_t m_sent = 0;
};

} // namespace

TEST_GROUP(gateway_peers){};

// All VMs of a fleet start at once, as after a loss of power. Until a VM is
// settled it has no tokens, so callers are refused.
TEST(gateway_peers, a_fleet_that_starts_at_once_is_discovered_in_two_seconds)
{
    for (const std::size_t vms : {7U, 84U, 295U}) {
        peer_fleet fleet(vms, vms);
        fleet.run(2s);
        CHECK(fleet.settled_share() >= 0.99);
    }
}

// Holders that are taken for dead are not asked for tokens, and requests within
// the rate are refused.
TEST(gateway_peers, vms_of_a_large_fleet_are_taken_for_live)
{
    peer_fleet fleet(295, 5);
    fleet.run(12s);
    for (int i = 0; i < 8; ++i) {
        fleet.run(250ms);
        CHECK(fleet.live_share(200) >= 0.97);
    }
}

TEST(gateway_peers, vms_that_stop_are_noticed)
{
    peer_fleet fleet(84, 6);
    fleet.run(8s);
    fleet.stop_from(42);
    fleet.run(6s);
    CHECK(fleet.live_share(5) <= 0.52);
}

TEST(gateway_peers, a_settled_fleet_agrees_on_holders)
{
    for (const std::size_t vms : {7U, 84U, 295U}) {
        peer_fleet fleet(vms, vms);
        fleet.run(6s);
        for (std::uint64_t id = 1; id <= workspaces; ++id) {
            CHECK_EQUAL(holders_wanted, fleet.holders(workspace_id(id)));
        }
    }
}

// A VM that knows a part of the fleet ranks itself too high. Were it to hold a
// slice, the slices of a workspace would exceed its rate. Every second datagram
// is lost.
TEST(gateway_peers, a_fleet_that_starts_at_once_has_no_more_holders_than_wanted)
{
    for (const std::size_t vms : {84U, 295U}) {
        peer_fleet fleet(vms, vms + 1, 2);
        for (int step = 0; step < 60; ++step) {
            fleet.run(100ms);
            for (std::uint64_t id = 1; id <= workspaces; ++id) {
                CHECK(fleet.holders(workspace_id(id)) <= holders_wanted);
            }
        }
    }
}

// Heartbeats of a settled fleet: four datagrams each half a second.
TEST(gateway_peers, heartbeats_do_not_grow_with_the_fleet)
{
    for (const std::size_t vms : {84U, 295U}) {
        peer_fleet fleet(vms, 8);
        fleet.run(4s);
        const double before = fleet.sent_by_each();
        fleet.run(10s);
        CHECK(fleet.sent_by_each() - before <= 85.0);
    }
}
