#include "systems/queries/extra_send_budget.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;

TEST_GROUP(extra_send_budget)
{
    extra_send_budget budget;

    std::uint64_t spend_all()
    {
        std::uint64_t taken = 0;
        while (budget.take()) {
            ++taken;
        }
        return taken;
    }
};

TEST(extra_send_budget, is_empty_at_start)
{
    CHECK_FALSE(budget.take());
}

TEST(extra_send_budget, allows_the_share_and_no_more)
{
    std::uint64_t taken = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.first_sends(25, 5);
        taken += spend_all();
    }
    CHECK_EQUAL(1250, taken);
}

TEST(extra_send_budget, credit_from_low_load_is_bounded)
{
    for (int i = 0; i < 100000; ++i) {
        budget.first_sends(25, 5);
    }
    CHECK_EQUAL(20, spend_all());
}

TEST(extra_send_budget, wide_query_gets_its_share)
{
    budget.first_sends(1400, 5);
    CHECK_EQUAL(70, spend_all());
}
