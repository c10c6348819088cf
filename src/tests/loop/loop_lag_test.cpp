#include "loop/loop_lag.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(loop_lag)
{
    loop_lag lag;
    const time_point start{1h};
};

TEST(loop_lag, timers_that_are_usually_late_show_none)
{
    lag.observe(start, start, start + 9ms);
    CHECK(lag.at(start + 9ms) == duration(0));
}

TEST(loop_lag, the_longest_of_a_while_counts)
{
    lag.observe(start, start, start + 600ms);
    lag.observe(start, start + 650ms, start + 700ms);
    CHECK(lag.at(start + 700ms) == duration(600ms));
    CHECK(lag.at(start + 849ms) == duration(600ms));
    CHECK(lag.at(start + 850ms) == duration(0));
    lag.observe(start, start + 900ms, start + 930ms);
    CHECK(lag.at(start + 930ms) == duration(30ms));
}

// Requests of the first quarter of a second were taken for hours late.
TEST(loop_lag, a_timer_that_was_overdue_when_it_was_planned_shows_none)
{
    lag.observe(start, time_point(), start + 1ms);
    CHECK(lag.at(start + 1ms) == duration(0));
    lag.observe(start, time_point(), start + 50ms);
    CHECK(lag.at(start + 50ms) == duration(50ms));
}
