#include "systems/servers/evacuated_data_centres.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(evacuated_data_centres)
{
    evacuated_data_centres evacuated;
    time_point now{1h};
    const data_centre_id first{1};
    const data_centre_id second{2};
};

TEST(evacuated_data_centres, an_evacuation_that_is_taken_back_ends_at_once)
{
    evacuated.listed({first, second}, now);
    CHECK(evacuated.contains(first, now));
    evacuated.listed({second}, now);
    CHECK(!evacuated.contains(first, now));
    CHECK(evacuated.contains(second, now));
}

TEST(evacuated_data_centres, a_restored_copy_that_lacks_one_does_not_end_it)
{
    evacuated.listed({first}, now);
    evacuated.store_restored(now);
    evacuated.listed({}, now);
    CHECK(evacuated.contains(first, now + 2s));
    CHECK(!evacuated.contains(first, now + 2300ms));
    evacuated.listed({first}, now + 1s);
    CHECK(evacuated.contains(first, now + 10s));
}

TEST(evacuated_data_centres, one_that_the_copy_holds_again_is_in_force)
{
    evacuated.store_restored(now);
    evacuated.listed({second}, now);
    CHECK(evacuated.contains(second, now));
    evacuated.listed({}, now + 3s);
    CHECK(!evacuated.contains(second, now + 3s));
}
