#include "systems/store/startup_progress.hpp"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(startup_progress)
{
    seeded_random random{7};
    time_point start{1h};
    startup_progress progress{random, start};

    /** Returns the mean retry delay of many refusals. */
    duration mean(std::optional<std::uint32_t> priority, time_point now)
    {
        constexpr int draws = 1000;
        duration sum{0};
        for (int i = 0; i < draws; ++i) {
            sum += progress.retry_after(priority, now);
        }
        return sum / draws;
    }
};

TEST(startup_progress, a_step_is_recorded_once)
{
    CHECK_FALSE(progress.has(startup_step::servers));
    CHECK(progress.record(startup_step::servers, start + 40ms));
    CHECK_FALSE(progress.record(startup_step::servers, start + 90ms));
    CHECK(progress.has(startup_step::servers));
    CHECK(progress.time_to(startup_step::servers) == duration(40ms));
    CHECK_FALSE(progress.time_to(startup_step::ready).has_value());
}

// A fixed delay of 50 ms made all callers return before the VM could serve
// them, and their only retry was lost.
TEST(startup_progress, callers_return_when_the_lists_are_expected)
{
    CHECK(progress.time_left(start) == duration(300ms));
    CHECK(progress.time_left(start + 200ms) == duration(100ms));
    for (int i = 0; i < 100; ++i) {
        CHECK(progress.retry_after(0, start + 100ms) >= 200ms);
    }
}

TEST(startup_progress, an_overdue_start_is_estimated_by_the_time_waited)
{
    CHECK(progress.time_left(start + 800ms) == duration(400ms));
    CHECK(progress.time_left(start + 30s) == duration(1500ms));
}

// What is left after the lists is the confirmation by a reader.
TEST(startup_progress, a_listed_state_waits_for_its_confirmation)
{
    progress.record(startup_step::configuration, start + 30ms);
    progress.record(startup_step::servers, start + 30ms);
    CHECK(progress.time_left(start + 400ms) == duration(600ms));
}

// Callers that return at the same millisecond are refused as overload.
TEST(startup_progress, callers_do_not_return_all_at_once)
{
    std::set<duration> delays;
    duration least = 2s;
    duration most{0};
    for (int i = 0; i < 100; ++i) {
        const duration delay = progress.retry_after(1, start);
        delays.insert(delay);
        least = std::min(least, delay);
        most = std::max(most, delay);
    }
    CHECK(delays.size() > 90);
    CHECK(most - least >= 50ms);
}

TEST(startup_progress, a_higher_priority_returns_sooner)
{
    const duration urgent = mean(0, start);
    const duration full = mean(1, start);
    const duration low = mean(2, start);
    CHECK(urgent + 20ms < full);
    CHECK(full + 20ms < low);
    CHECK(mean(std::nullopt, start) + 5ms > low);
}

TEST(startup_progress, no_caller_is_sent_away_for_more_than_two_seconds)
{
    for (const duration age : {0ms, 300ms, 1000ms, 3000ms, 60000ms}) {
        for (int i = 0; i < 100; ++i) {
            const duration delay = progress.retry_after(9, start + age);
            CHECK(delay <= 2s);
            CHECK(delay >= 50ms);
        }
    }
}
