#include "systems/members/fleet_share.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(fleet_share)
{
    time_point now{1h};
    static constexpr double all_seeds = 1.0;

    fleet_share make(bool first_start, std::uint64_t data_centres) const
    {
        fleet_origin origin;
        origin.first_start = first_start;
        origin.data_centre = data_centre_id(1);
        for (std::uint64_t id = 1; id <= data_centres; ++id) {
            origin.data_centres.emplace_back(id);
        }
        return fleet_share(origin, now);
    }
    static gateway_datagram from(std::uint64_t data_centre, bool unconfirmed)
    {
        gateway_datagram datagram;
        datagram.settled = true;
        datagram.fleet_unconfirmed = unconfirmed;
        datagram.data_centre = data_centre_id(data_centre);
        return datagram;
    }
};

TEST(fleet_share, the_first_start_of_a_fleet_uses_the_whole)
{
    DOUBLES_EQUAL(1.0, make(true, 4).usable(all_seeds, now), 1e-9);
}

TEST(fleet_share, restarted_vms_leave_a_part_to_those_that_are_not_seen)
{
    struct row
    {
        std::uint64_t data_centres;
        std::uint64_t seen;
        double heard_seeds;
        double usable;
    };
    const row rows[] = {
        {3, 3, 1.0, 0.625},          {3, 2, 1.0, 0.625},
        {3, 1, 1.0, 1.0 / 3.0},      {4, 2, 1.0, 0.5},
        {3, 3, 2.0 / 3.0, 5 / 12.0}, {3, 3, 1.0 / 3.0, 0.25},
        {3, 3, 0.0, 0.25},           {6, 1, 1.0, 0.25},
        {0, 1, 1.0, 0.625},          {1, 1, 1.0, 0.625},
    };
    for (const row& r : rows) {
        fleet_share share = make(false, r.data_centres);
        for (std::uint64_t id = 2; id <= r.seen; ++id) {
            share.received(from(id, true));
        }
        DOUBLES_EQUAL(r.usable, share.usable(r.heard_seeds, now), 1e-9);
    }
}

TEST(fleet_share, a_vm_that_knew_the_fleet_before_confirms_it)
{
    fleet_share share = make(false, 3);
    share.received(from(2, true));
    CHECK(!share.confirmed(all_seeds, now));
    share.received(from(2, false));
    CHECK(share.confirmed(0.0, now));
    DOUBLES_EQUAL(1.0, share.usable(0.0, now), 1e-9);
}

TEST(fleet_share, a_vm_that_is_discovering_the_fleet_confirms_nothing)
{
    fleet_share share = make(false, 3);
    gateway_datagram datagram = from(2, false);
    datagram.settled = false;
    share.received(datagram);
    CHECK(!share.confirmed(all_seeds, now));
}

TEST(fleet_share, a_part_is_held_back_for_long_if_seeds_or_places_are_missing)
{
    fleet_share share = make(false, 2);
    CHECK(!share.confirmed(all_seeds, now + 10min - 1ms));
    CHECK(share.confirmed(all_seeds, now + 10min));
    share.received(from(2, true));
    CHECK(!share.confirmed(0.9, now + 10min - 1ms));
    CHECK(share.confirmed(0.9, now + 10min));
    DOUBLES_EQUAL(1.0, share.usable(0.0, now + 10min), 1e-9);
}

TEST(fleet_share, without_a_sign_of_others_a_part_is_held_back_for_seconds)
{
    fleet_share share = make(false, 2);
    share.received(from(2, true));
    CHECK(!share.confirmed(all_seeds, now + 20s - 1ms));
    CHECK(share.confirmed(all_seeds, now + 20s));
}
