#include "systems/queries/extra_send_budget.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;

TEST_GROUP(extra_send_budget)
{
    extra_send_budget budget;

    std::uint64_t take_all()
    {
        std::uint64_t taken = 0;
        while (budget.take()) {
            ++taken;
        }
        return taken;
    }
};

TEST(extra_send_budget, has_nothing_at_the_start)
{
    CHECK_FALSE(budget.take());
}

TEST(extra_send_budget, allows_the_share_and_no_more)
{
    std::uint64_t taken = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.first_sends(25, 5);
        taken += take_all();
    }
    CHECK_EQUAL(1250, taken);
}

TEST(extra_send_budget, savings_of_quiet_times_are_bounded)
{
    for (int i = 0; i < 100000; ++i) {
        budget.first_sends(25, 5);
    }
    CHECK_EQUAL(20, take_all());
}

TEST(extra_send_budget, wide_query_gets_its_share)
{
    budget.first_sends(1400, 5);
    CHECK_EQUAL(70, take_all());
}
