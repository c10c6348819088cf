#include <rapidcheck.h>

#include "systems/queries/latency_estimate.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(latency_estimate)
{
    const service_id service{1};
    time_point now{1h};
    latency_estimate estimate;
};

TEST(latency_estimate, has_no_estimate_from_few_samples)
{
    estimate.observe(service, 5ms, now);
    CHECK_FALSE(estimate.quantile(service, 0.95).has_value());
}

TEST(latency_estimate, follows_a_service_that_became_fast)
{
    for (int i = 0; i < 1000; ++i) {
        estimate.observe(service, 100ms, now);
    }
    for (int i = 0; i < 1000; ++i) {
        now += 100ms;
        estimate.observe(service, 5ms, now);
    }
    CHECK(*estimate.quantile(service, 0.95) < 6ms);
}

TEST(latency_estimate, property_quantile_is_within_an_eighth)
{
    const bool holds = rc::check([this] {
        latency_estimate fresh;
        auto samples = *rc::gen::container<std::vector<int>>(
            200, rc::gen::inRange(20, 10'000'000));
        for (const int sample : samples) {
            fresh.observe(service, std::chrono::microseconds(sample), now);
        }
        std::sort(samples.begin(), samples.end());
        const auto exact = std::chrono::microseconds(samples[189]);
        const duration got = *fresh.quantile(service, 0.95);
        RC_ASSERT(got >= exact);
        RC_ASSERT(got <= exact + exact / 8 + 1us);
    });
    CHECK(holds);
}
