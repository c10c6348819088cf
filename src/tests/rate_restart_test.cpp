#include "fakes/partitioned_fleet.hpp"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace cranberrywood;
using namespace cranberrywood::fakes;
using namespace std::chrono_literals;

namespace {

/** Callers ask for a multiple of the rate. */
constexpr double pressing = 4.0;

/** What the users allow within five seconds, over all VMs. */
double allowed_in_window(const partitioned_fleet_shape& shape)
{
    constexpr double window_s = 5.0;
    constexpr double overshoot = 0.25;
    constexpr double slack = 20.0;
    return (shape.rate * window_s + shape.burst) * (1.0 + overshoot) + slack;
}

partitioned_fleet_shape shape_of(std::size_t vms, std::size_t data_centres,
                                 double rate)
{
    partitioned_fleet_shape shape;
    shape.vms = vms;
    shape.data_centres = data_centres;
    shape.rate = shape.burst = rate;
    return shape;
}

duration draw_ms(random_source& random, std::uint64_t least, std::uint64_t most)
{
    return std::chrono::milliseconds(least + random.below(most - least + 1));
}

/** Cuts a part of the fleet off; returns how many groups there are then. */
std::size_t cut(partitioned_fleet& fleet, random_source& random)
{
    const std::uint64_t kind = random.below(4);
    const std::size_t data_centre = random.below(3);
    const std::uint64_t percent = 20 + random.below(31);
    std::size_t groups = 2;
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        const std::size_t place = fleet.data_centre_of(vm);
        if (kind == 0) {
            fleet.set_group(vm, place == data_centre ? 1 : 0);
        } else if (kind == 1) {
            fleet.set_group(vm, place);
            groups = std::max(groups, place + 1);
        } else {
            fleet.set_group(vm, random.below(100) < percent ? 1 : 0);
        }
    }
    return groups;
}

/** Restarts all VMs of some groups, or a part of all VMs. */
void restart_some(partitioned_fleet& fleet, std::size_t groups,
                  random_source& random)
{
    const std::uint64_t kind = random.below(4);
    const std::size_t group = random.below(groups);
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        const bool in_group = fleet.group_of(vm) == group;
        const bool killed = kind == 0   ? in_group
                            : kind == 1 ? !in_group
                            : kind == 2 ? true
                                        : random.below(100) < 55;
        if (killed) {
            fleet.kill(vm, draw_ms(random, 500, 2000));
        }
    }
}

/** Plays one partition with restarts; returns the most in five seconds. */
std::size_t play(const partitioned_fleet_shape& shape, std::uint64_t seed)
{
    seeded_random random(seed);
    partitioned_fleet fleet(shape, random.next());
    const double demand = shape.rate * pressing;
    fleet.run(4s, demand);
    const std::size_t groups = cut(fleet, random);
    fleet.run(draw_ms(random, 0, 6000), demand);
    restart_some(fleet, groups, random);
    fleet.run(draw_ms(random, 4000, 12000), demand);
    if (random.below(3) == 0) {
        restart_some(fleet, groups, random);
        fleet.run(draw_ms(random, 4000, 8000), demand);
    }
    fleet.heal();
    fleet.run(6s, demand);
    return fleet.most_in_window();
}

/** Restarts every VM at once. */
void restart_all(partitioned_fleet& fleet)
{
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        fleet.kill(vm, 1s);
    }
}

/** Returns the share of the rate that pressing callers get in a time. */
double share_given(partitioned_fleet& fleet, double rate, duration length)
{
    fleet.take_admitted();
    fleet.run(length, rate * pressing);
    return static_cast<double>(fleet.take_admitted()) /
           (rate * std::chrono::duration<double>(length).count());
}

} // namespace

TEST_GROUP(rate_restart){};

// QUOTA: the VMs on one side of a partition restarted, knew only each other and
// divided the whole rate, while those of the other side went on with theirs.
TEST(rate_restart, restarts_within_a_partition_stay_within_what_is_allowed)
{
    struct row
    {
        partitioned_fleet_shape shape;
        std::uint64_t histories;
    };
    const row rows[] = {
        {shape_of(3, 3, 130.0), 60},  {shape_of(7, 4, 130.0), 100},
        {shape_of(8, 3, 130.0), 100}, {shape_of(24, 4, 130.0), 30},
        {shape_of(24, 4, 20.0), 30},  {shape_of(84, 6, 130.0), 6},
    };
    for (const row& r : rows) {
        for (std::uint64_t seed = 1; seed <= r.histories; ++seed) {
            const std::size_t most = play(r.shape, seed);
            const std::string what = "vms=" + std::to_string(r.shape.vms) +
                                     " seed=" + std::to_string(seed) +
                                     " admitted=" + std::to_string(most);
            CHECK_TEXT(static_cast<double>(most) <= allowed_in_window(r.shape),
                       what.c_str());
        }
    }
}

TEST(rate_restart, restarts_that_take_themselves_for_the_first_are_caught)
{
    partitioned_fleet_shape shape = shape_of(8, 3, 130.0);
    shape.restarts_as_first = true;
    std::size_t caught = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto most = static_cast<double>(play(shape, seed));
        caught += most > allowed_in_window(shape) ? 1 : 0;
    }
    CHECK(caught > 0);
}

TEST(rate_restart, a_fleet_that_starts_first_gives_out_the_whole_rate)
{
    const auto shape = shape_of(8, 3, 130.0);
    partitioned_fleet fleet(shape, 1);
    fleet.run(2s, 0.0);
    CHECK(share_given(fleet, shape.rate, 10s) > 0.9);
}

TEST(rate_restart, a_vm_that_did_not_restart_confirms_the_fleet_at_once)
{
    const auto shape = shape_of(8, 3, 130.0);
    partitioned_fleet fleet(shape, 2);
    fleet.run(4s, 0.0);
    for (std::size_t vm = 1; vm < fleet.size(); ++vm) {
        fleet.kill(vm, 1s);
    }
    fleet.run(3s, 0.0);
    CHECK(share_given(fleet, shape.rate, 10s) > 0.9);
}

// After a restart of all VMs nothing tells that no others remain, so callers
// get five eighths of the rate at first.
TEST(rate_restart, a_fleet_that_restarts_whole_keeps_a_part_back_for_seconds)
{
    const auto shape = shape_of(8, 3, 130.0);
    partitioned_fleet fleet(shape, 3);
    fleet.run(4s, 0.0);
    restart_all(fleet);
    fleet.run(3s, 0.0);
    const double restarted = share_given(fleet, shape.rate, 15s);
    CHECK(restarted > 0.6);
    CHECK(restarted < 0.7);
    fleet.run(5s, 0.0);
    CHECK(share_given(fleet, shape.rate, 20s) > 0.9);
}
