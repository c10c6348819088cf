#include <rapidcheck.h>

#include "systems/queries/fair_queue.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(fair_queue)
{
    time_point now{1h};
    const workspace_id large{1};
    const workspace_id small{2};

    enqueue_options terms(workspace_id workspace, std::uint32_t weight = 1,
                          std::uint32_t cost = 1)
    {
        return {workspace, weight, cost, now + 1s};
    }

    /**
     * Returns how many entries are served before one that was added after 50 of
     * another workspace.
     */
    std::uint32_t position_behind_backlog(std::uint32_t quantum)
    {
        fair_queue<int> queue(100, quantum);
        for (int i = 0; i < 50; ++i) {
            queue.push(terms(large), i);
        }
        queue.push(terms(small), 1000);
        std::uint32_t position = 0;
        while (queue.pop(now, 0ms) != 1000) {
            ++position;
        }
        return position;
    }

    /**
     * Returns how many of the first served entries are from the workspace with
     * weight 3 and cost 2.
     */
    int count_large_in_first(int served, std::uint32_t quantum)
    {
        fair_queue<workspace_id> queue(1000, quantum);
        for (int i = 0; i < 300; ++i) {
            queue.push(terms(large, 3, 2), large);
            queue.push(terms(small, 1, 1), small);
        }
        int of_large = 0;
        for (int i = 0; i < served; ++i) {
            of_large += queue.pop(now, 0ms) == large ? 1 : 0;
        }
        return of_large;
    }
};

TEST(fair_queue, small_workspace_passes_a_long_backlog)
{
    CHECK(position_behind_backlog(1) <= 1);
}

TEST(fair_queue, quantum_bounds_position_behind_backlog)
{
    for (const std::uint32_t quantum : {2U, 4U, 8U}) {
        CHECK_EQUAL(quantum, position_behind_backlog(quantum));
    }
}

TEST(fair_queue, serves_by_weight_and_cost)
{
    CHECK_EQUAL(60, count_large_in_first(100, 1));
}

// Within a quantum entries are served in order of arrival, so a workspace
// exceeds its share by at most the entries of one quantum, and the shares are
// exact at its end.
TEST(fair_queue, shares_are_exact_at_quantum_ends)
{
    for (int served = 20; served <= 200; served += 20) {
        CHECK_EQUAL(served * 3 / 5, count_large_in_first(served, 4));
    }
}

TEST(fair_queue, full_queue_evicts_from_largest_workspace)
{
    fair_queue<int> queue(3);
    queue.push(terms(large), 1);
    queue.push(terms(large), 2);
    queue.push(terms(large), 3);
    CHECK(queue.push(terms(small), 4) == 3);
    CHECK_EQUAL(1, queue.size_of(small));
}

TEST(fair_queue, drops_entries_that_cannot_meet_their_deadline)
{
    fair_queue<int> queue(10);
    queue.push(terms(large), 1);
    now += 990ms;
    queue.push(terms(large), 2);
    CHECK(queue.pop(now, 20ms) == 2);
    CHECK_EQUAL(1, queue.take_expired().size());
    CHECK(queue.take_expired().empty());
}

TEST(fair_queue, property_every_entry_leaves_exactly_once)
{
    const bool holds = rc::check([] {
        fair_queue<int> queue(*rc::gen::inRange(1, 20));
        time_point at{1h};
        std::vector<int> left;
        const int pushes = *rc::gen::inRange(0, 100);
        for (int i = 0; i < pushes; ++i) {
            const workspace_id workspace(*rc::gen::inRange(1, 4));
            const auto life =
                std::chrono::milliseconds(*rc::gen::inRange(0, 30));
            if (const auto evicted =
                    queue.push({workspace, 1, 1, at + life}, i)) {
                left.push_back(*evicted);
            }
            if (*rc::gen::inRange(0, 3) == 0) {
                at += 5ms;
                if (const auto served = queue.pop(at, 1ms)) {
                    left.push_back(*served);
                }
            }
        }
        for (const int item : queue.take_expired()) {
            left.push_back(item);
        }
        for (const int item : queue.take_all()) {
            left.push_back(item);
        }
        std::sort(left.begin(), left.end());
        RC_ASSERT(left.size() == static_cast<std::size_t>(pushes));
        for (int i = 0; i < pushes; ++i) {
            RC_ASSERT(left[static_cast<std::size_t>(i)] == i);
        }
        RC_ASSERT(queue.empty());
    });
    CHECK(holds);
}
