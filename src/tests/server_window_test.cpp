#include "systems/servers/server_window.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(server_window)
{
    time_point now{1h};
    service_settings service;

    void setup() override
    {
        service.slots = 4;
        service.cold_limit = 1;
    }

    void complete(server_window & window, int count, duration latency)
    {
        for (int i = 0; i < count; ++i) {
            while (window.has_room()) {
                window.sent();
            }
            now += latency;
            window.completed(latency, now);
        }
    }
};

TEST(server_window, starts_at_the_cold_limit)
{
    server_window window(service);
    window.reset_to_cold(now);
    window.sent();
    CHECK_FALSE(window.has_room());
    CHECK(window.cold());
}

TEST(server_window, time_alone_does_not_warm)
{
    server_window window(service);
    window.reset_to_cold(now);
    now += 1h;
    complete(window, 3, 5ms);
    CHECK(window.cold());
    CHECK_EQUAL(1, window.limit());
}

TEST(server_window, a_burst_of_short_requests_does_not_warm)
{
    server_window window(service);
    window.reset_to_cold(now);
    complete(window, 1000, 1ms);
    CHECK(window.cold());
}

TEST(server_window, grows_on_completed_requests_to_its_limit)
{
    server_window window(service);
    window.reset_to_cold(now);
    complete(window, 4000, 5ms);
    CHECK_FALSE(window.cold());
    CHECK_EQUAL(5, window.limit());
}

TEST(server_window, new_process_restarts_at_the_cold_limit)
{
    server_window window(service);
    window.reset_to_cold(now);
    complete(window, 4000, 5ms);
    window.reset_to_cold(now);
    CHECK_EQUAL(1, window.limit());
    CHECK_FALSE(window.has_room());
}

TEST(server_window, shrinks_on_shed_and_on_failure)
{
    server_window window(service);
    window.reset_to_cold(now);
    complete(window, 4000, 5ms);
    window.shed();
    window.failed();
    CHECK_EQUAL(3, window.limit());
}

TEST(server_window, shrinks_when_latency_rises)
{
    server_window window(service);
    window.reset_to_cold(now);
    complete(window, 4000, 5ms);
    complete(window, 40, 50ms);
    CHECK(window.limit() < 5);
}

TEST(server_window, limit_follows_lowered_settings)
{
    server_window window(service);
    window.reset_to_cold(now);
    complete(window, 4000, 5ms);
    service.slots = 2;
    window.limits_changed(service);
    CHECK_EQUAL(3, window.limit());
}
