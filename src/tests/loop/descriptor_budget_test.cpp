#include "loop/descriptor_budget.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;

TEST_GROUP(descriptor_budget){};

// Guards against parts that add up to more than the VM has, so that callers
// take the descriptors of servers.
TEST(descriptor_budget, keeps_files_and_adds_up)
{
    for (const std::size_t open_files :
         {264UL, 300UL, 1000UL, 4100UL, 8192UL}) {
        const descriptor_budget budget = budget_of_descriptors(open_files);
        CHECK(budget.callers + budget.servers + budget.peers_in +
                  budget.peers_out + 200 <=
              open_files);
        CHECK(budget.callers > 0);
        CHECK(budget.servers > 0);
        CHECK(budget.peers_in >= 4);
        CHECK(budget.peers_out > 0);
    }
}

// A deployment has 4,100 descriptors, 1,000 kept callers and two connections
// to each of 137 servers.
TEST(descriptor_budget, suffices_for_an_ordinary_load)
{
    const descriptor_budget budget = budget_of_descriptors(4100);
    CHECK(budget.callers >= 1000);
    CHECK(budget.servers >= 2 * 137);
    CHECK(budget.peers_in >= 86);
    CHECK(budget.peers_out >= 86);
}

TEST(descriptor_budget, has_nothing_below_what_files_need)
{
    CHECK_EQUAL(0U, budget_of_descriptors(150).callers);
}
