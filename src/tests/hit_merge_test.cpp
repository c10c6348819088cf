#include "systems/queries/hit_merge.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;

TEST_GROUP(hit_merge){};

TEST(hit_merge, keeps_the_best_hits_and_removes_duplicates)
{
    std::vector<hit> hits{{"a", 1.0, ""}, {"b", 3.0, ""}};
    merge_hits(hits, {{"b", 3.0, ""}, {"c", 2.0, ""}, {"d", 0.5, ""}}, 3);
    CHECK_EQUAL(3, hits.size());
    CHECK(hits[0].key == "b");
    CHECK(hits[1].key == "c");
    CHECK(hits[2].key == "a");
}

TEST(hit_merge, orders_equal_scores_by_key)
{
    std::vector<hit> hits{{"z", 1.0, ""}};
    merge_hits(hits, {{"y", 1.0, ""}}, 10);
    CHECK(hits[0].key == "y");
}
