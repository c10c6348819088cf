#include "loop/stop_schedule.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(stop_schedule){};

// Requests of the first 3 s may be cut in the last sixth only, from 5 s on.
TEST(stop_schedule, six_seconds_are_used_to_the_last_sixth)
{
    const time_point asked{1h};
    const stop_schedule stop(asked, 6s);
    CHECK(stop.balancer_noticed() == asked + 2600ms);
    CHECK(stop.answer_by() == asked + 5300ms);
    CHECK(stop.end_by() == asked + 5700ms);
}

TEST(stop_schedule, the_order_holds_for_any_time)
{
    const time_point asked{1h};
    for (const duration within : {duration(0), duration(1ms), duration(300ms),
                                  duration(1s), duration(3s), duration(1h)}) {
        const stop_schedule stop(asked, within);
        CHECK(asked <= stop.balancer_noticed());
        CHECK(stop.balancer_noticed() <= stop.answer_by());
        CHECK(stop.answer_by() <= stop.end_by());
        CHECK(stop.end_by() <= asked + within);
    }
}
