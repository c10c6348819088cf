#include "fakes/lease_cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

settings fleet_of(std::uint32_t vms)
{
    fakes::sample_shape shape;
    shape.vms = vms;
    settings s = fakes::sample_settings(shape);
    s.fleet.shared_groups = 6;
    s.fleet.groups_per_data_centre = 2;
    return s;
}

void start_all(fakes::lease_cluster& cluster, std::size_t vms)
{
    for (std::size_t vm = 0; vm < vms; ++vm) {
        cluster.start(vm);
    }
}

} // namespace

TEST_GROUP(role_leases)
{
    fakes::lease_cluster cluster{8, fleet_of(8), 1};

    void setup() override
    {
        start_all(cluster, 8);
    }
    void teardown() override
    {
        STRCMP_EQUAL("", cluster.violation().c_str());
    }
    std::size_t held_by(std::size_t vm) const
    {
        std::size_t held = 0;
        for (const auto group : cluster.map().groups()) {
            const auto found = cluster.holders(group);
            held += found.size() == 1 && found.front() == vm ? 1 : 0;
        }
        return held;
    }
    std::size_t busiest() const
    {
        std::size_t best = 0;
        for (std::size_t vm = 1; vm < 8; ++vm) {
            best = held_by(vm) > held_by(best) ? vm : best;
        }
        return best;
    }
};

TEST(role_leases, nothing_is_held_within_one_lease_of_a_cold_start)
{
    cluster.run(2900ms);
    for (std::size_t vm = 0; vm < 8; ++vm) {
        CHECK_EQUAL(0, held_by(vm));
    }
}

TEST(role_leases, all_groups_are_held_soon_after_a_cold_start)
{
    cluster.run(3500ms);
    CHECK(cluster.all_held_by_first_live());
}

TEST(role_leases, crash_fails_over_within_a_lease_and_a_renewal)
{
    cluster.run(10s);
    cluster.kill(busiest());
    cluster.run(4500ms);
    CHECK(cluster.all_held_by_first_live());
}

TEST(role_leases, restarted_vm_gets_its_groups_back_by_hand_over)
{
    cluster.run(10s);
    const std::size_t vm = busiest();
    cluster.kill(vm);
    cluster.run(10s);
    cluster.start(vm);
    cluster.run(6s);
    CHECK(held_by(vm) > 0);
    CHECK(cluster.all_held_by_first_live());
}

TEST(role_leases, leaving_vm_hands_over_without_waiting_for_the_lease)
{
    cluster.run(10s);
    const std::size_t vm = busiest();
    cluster.leave(vm);
    cluster.run(1500ms);
    CHECK_EQUAL(0, held_by(vm));
    cluster.kill(vm);
    CHECK(cluster.all_held_by_first_live());
}

TEST(role_leases, minority_side_of_a_partition_holds_nothing)
{
    cluster.run(10s);
    for (std::size_t a = 0; a < 3; ++a) {
        for (std::size_t b = 3; b < 8; ++b) {
            cluster.block(a, b, true);
            cluster.block(b, a, true);
        }
    }
    cluster.run(8s);
    CHECK_EQUAL(0, held_by(0) + held_by(1) + held_by(2));
    for (const auto group : cluster.map().groups()) {
        CHECK_EQUAL(1, cluster.holders(group).size());
    }
}

TEST(role_leases, paused_holder_has_lost_its_groups_when_resumed)
{
    cluster.run(10s);
    const std::size_t vm = busiest();
    cluster.pause(vm, 20s);
    cluster.run(10s);
    CHECK_EQUAL(0, held_by(vm));
    cluster.run(20s);
    CHECK(cluster.all_held_by_first_live());
}

TEST(role_leases, removed_slot_gives_up_its_groups)
{
    cluster.run(10s);
    settings fewer = fleet_of(8);
    fewer.revision = revision_number(2);
    fewer.vms.pop_back();
    cluster.publish(fewer, 500ms);
    cluster.run(6s);
    CHECK_EQUAL(0, held_by(7));
    cluster.kill(7);
    CHECK(cluster.all_held_by_first_live());
}
