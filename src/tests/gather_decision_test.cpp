#include "systems/queries/gather_decision.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

struct decision_row
{
    std::uint32_t answered;
    std::uint32_t failed;
    duration after;
    gather_decision expected;
};

struct required_row
{
    std::uint32_t shards;
    double share;
    std::uint32_t required;
};

} // namespace

TEST_GROUP(gather_decision){};

TEST(gather_decision, depends_on_parts_and_time)
{
    const time_point start{1h};
    const auto wait = gather_decision::wait;
    const auto answer = gather_decision::answer;
    const auto fail = gather_decision::fail;
    // Ten shards, nine needed, no waiting for more from 90 ms on, deadline 300
    // ms.
    const decision_row table[] = {
        {0, 0, 0ms, wait},    {9, 0, 89ms, wait},    {10, 0, 0ms, answer},
        {9, 0, 90ms, answer}, {9, 1, 1ms, answer},   {8, 0, 90ms, wait},
        {8, 1, 299ms, wait},  {8, 0, 300ms, fail},   {0, 2, 0ms, fail},
        {8, 2, 0ms, fail},    {9, 0, 300ms, answer}, {10, 0, 400ms, answer},
    };
    for (const decision_row& row : table) {
        const gather_progress progress{10, row.answered, row.failed,
                                       9,  start + 90ms, start + 300ms};
        CHECK(decide_gather(progress, start + row.after) == row.expected);
    }
}

TEST(gather_decision, least_shards_round_up_without_rounding_errors)
{
    const required_row table[] = {
        {10, 0.89, 9}, {15, 0.89, 14}, {10, 0.75, 8}, {15, 0.75, 12},
        {10, 0.7, 7},  {10, 0.0, 1},   {10, 1.0, 10}, {36, 0.95, 35},
        {1, 0.5, 1},   {3, 2.0, 3},
    };
    for (const required_row& row : table) {
        CHECK_EQUAL(row.required, required_shards(row.shards, row.share));
    }
}
