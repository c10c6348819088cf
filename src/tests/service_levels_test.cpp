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
    void end(const response& answer, duration took, time_point now)
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

TEST(service_levels, tells_late_short_and_refused_apart)
{
    end(answered{}, 10ms, start);
    end(answered{}, 400ms, start);
    end(partial(false), 10ms, start);
    end(refusal(reason::overloaded), 10ms, start);
    end(refusal(reason::over_rate), 10ms, start);
    const level_counts c = levels.report(start).front().windows.front().counts;
    CHECK_EQUAL(5, c.requests);
    CHECK_EQUAL(1, c.late);
    CHECK_EQUAL(1, c.short_of_whole);
    CHECK_EQUAL(1, c.refused);
    CHECK_EQUAL(1, c.over_rate);
}

TEST(service_levels, coverage_lost_to_a_rule_burns_nothing)
{
    end(partial(true), 10ms, start);
    const auto r = levels.report(start).front();
    CHECK_EQUAL(0, r.windows.front().counts.short_of_whole);
}

TEST(service_levels, windows_forget_what_is_older)
{
    end(answered{}, 400ms, start);
    const auto windows = levels.report(start + 10min).front().windows;
    CHECK_EQUAL(0, windows.front().counts.late);
    CHECK_EQUAL(1, windows.back().counts.late);
}
