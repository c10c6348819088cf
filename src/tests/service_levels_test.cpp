#include "systems/queries/service_levels.hpp"

#include "fakes/sample_settings.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(service_levels)
{
    service_levels levels;
    time_point start{1h};
    workspace_id workspace{7};
    service_id service = id_of<service_id>("search");

    void setup() override
    {
        levels.settings_changed(fakes::sample_index());
    }
    void record(const response& answer, duration took, time_point now)
    {
        levels.record_answer(workspace, service, answer, took, now);
    }
    static answered partial(bool by_rule)
    {
        answered a;
        a.covers.total_keys = 10;
        a.covers.shards.push_back({shard_id(1), 0, 9, false, by_rule});
        return a;
    }
    static response refusal(reason why)
    {
        return to_response(
            unsent_proof().refuse({step::rate, why, {}, {}, {}}));
    }
};

TEST(service_levels, distinguishes_late_incomplete_and_refused)
{
    record(answered{}, 10ms, start);
    record(answered{}, 400ms, start);
    record(partial(false), 10ms, start);
    record(refusal(reason::overloaded), 10ms, start);
    record(refusal(reason::over_rate), 10ms, start);
    const level_counts c = levels.report(start).front().windows.front().counts;
    CHECK_EQUAL(5, c.requests);
    CHECK_EQUAL(1, c.late);
    CHECK_EQUAL(1, c.short_of_whole);
    CHECK_EQUAL(1, c.refused);
    CHECK_EQUAL(1, c.over_rate);
}

TEST(service_levels, shards_left_out_by_rule_are_not_counted_as_incomplete)
{
    record(partial(true), 10ms, start);
    const auto r = levels.report(start).front();
    CHECK_EQUAL(0, r.windows.front().counts.short_of_whole);
}

TEST(service_levels, windows_exclude_older_requests)
{
    record(answered{}, 400ms, start);
    const auto windows = levels.report(start + 10min).front().windows;
    CHECK_EQUAL(0, windows.front().counts.late);
    CHECK_EQUAL(1, windows.back().counts.late);
}
