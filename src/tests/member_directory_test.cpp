#include "systems/members/member_directory.hpp"

#include <CppUTest/TestHarness.h>
#include <memory>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

std::string address(std::size_t vm)
{
    return "10.0.0." + std::to_string(vm + 1) + ":7000";
}

/** Fleet with the first three VMs as seeds and a third of datagrams lost. */
class member_fleet
{
public:
    member_fleet(std::size_t vms, std::uint64_t seed) : m_random(seed)
    {
        for (std::size_t vm = 0; vm < vms; ++vm) {
            m_members.push_back(make(vm));
        }
    }
    void run(duration length)
    {
        for (duration passed{0}; passed < length; passed += 500ms) {
            m_now += 500ms;
            for (std::size_t vm = 0; vm < m_members.size(); ++vm) {
                send_heartbeats(vm);
            }
        }
    }
    /** Restarts a VM with an empty directory. */
    void restart(std::size_t vm)
    {
        m_members[vm] = make(vm);
    }
    std::uint32_t size_at(std::size_t vm) const
    {
        return m_members[vm]->fleet_size(m_now);
    }
    void silence(std::size_t from)
    {
        m_silent_from = from;
    }

private:
    std::unique_ptr<member_directory> make(std::size_t vm)
    {
        return std::make_unique<member_directory>(
            member_identity{address(vm), {address(0), address(1), address(2)}},
            m_random, m_now);
    }
    void send_heartbeats(std::size_t vm)
    {
        if (vm >= m_silent_from) {
            return;
        }
        for (const std::string& to : m_members[vm]->heartbeat_targets(m_now)) {
            gateway_datagram datagram;
            m_members[vm]->fill(datagram, m_now);
            m_members[vm]->add_hints(datagram, m_now);
            for (std::size_t other = 0; other < m_members.size(); ++other) {
                if (address(other) == to && other < m_silent_from &&
                    m_random.below(3) != 0) {
                    m_members[other]->received(address(vm), datagram, m_now);
                }
            }
        }
    }

    seeded_random m_random;
    time_point m_now{1h};
    std::vector<std::unique_ptr<member_directory>> m_members;
    std::size_t m_silent_from = SIZE_MAX;
};

} // namespace

TEST_GROUP(member_directory)
{
    seeded_random random{3};
    time_point now{1h};
};

TEST(member_directory, fleet_is_discovered_from_three_seeds)
{
    for (const std::size_t vms : {3U, 8U, 67U}) {
        member_fleet fleet(vms, vms);
        fleet.run(10s);
        for (std::size_t vm = 0; vm < vms; ++vm) {
            CHECK_EQUAL(vms, fleet.size_at(vm));
        }
    }
}

TEST(member_directory, vm_without_known_peers_assumes_a_large_fleet)
{
    member_directory members({address(0), {address(0), address(1)}}, random,
                             now);
    CHECK_EQUAL(32U, members.fleet_size(now + 10min));
}

TEST(member_directory, vm_that_is_its_only_seed_is_alone)
{
    member_directory members({address(0), {address(0)}}, random, now);
    CHECK_EQUAL(1U, members.fleet_size(now));
}

TEST(member_directory, restarted_vm_learns_the_fleet_size_from_peers)
{
    member_fleet fleet(8, 4);
    fleet.run(10s);
    fleet.restart(5);
    CHECK_EQUAL(32U, fleet.size_at(5));
    fleet.run(2s);
    CHECK_EQUAL(8U, fleet.size_at(5));
}

// The other side of a partition still uses its slices of the rate limits.
TEST(member_directory, silent_vms_count_until_evicted)
{
    member_fleet fleet(8, 9);
    fleet.run(10s);
    fleet.silence(4);
    fleet.run(60s);
    CHECK_EQUAL(8U, fleet.size_at(0));
    fleet.run(11min);
    CHECK_EQUAL(4U, fleet.size_at(0));
}

TEST(member_directory, silent_vms_are_not_live)
{
    member_directory members({address(0), {address(1)}}, random, now);
    gateway_datagram datagram;
    datagram.members = {{address(2), 1s}, {address(3), 20s}};
    members.received(address(1), datagram, now);
    CHECK_EQUAL(2, members.live(now).size());
    CHECK_EQUAL(0, members.live(now + 5s).size());
}
