#include "systems/store/store_follower.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(store_follower)
{
    seeded_random random{5};
    store_follower follower{300ms, random};
    time_point now{1h};

    static store_position at(std::uint64_t revision, std::uint64_t era = 1)
    {
        return {store_era(era), store_revision(revision)};
    }
    static store_change change(const std::string& key, std::uint64_t revision)
    {
        return {key, at(revision), removed_item{}, {}};
    }
    void list(std::uint64_t revision, std::uint64_t era = 1)
    {
        follower.handle_page({{}, false, at(revision, era)}, now);
    }
};

TEST(store_follower, lists_page_by_page_and_watches_from_the_first)
{
    CHECK(std::get<list_items>(follower.next_call(now)).after_key.empty());
    CHECK(
        follower
            .handle_page({{change("a", 1), change("b", 2)}, true, at(10)}, now)
            ->changes.empty());
    STRCMP_EQUAL(
        "b", std::get<list_items>(follower.next_call(now)).after_key.c_str());
    const auto page =
        follower.handle_page({{change("c", 12)}, false, at(13)}, now);
    CHECK(page->whole);
    CHECK_EQUAL(3, page->changes.size());
    CHECK(std::get<watch_items>(follower.next_call(now)).after ==
          store_revision(10));
}

TEST(store_follower, changes_between_watches_arrive_together)
{
    list(10);
    const auto page =
        follower.handle_page({{change("a", 11)}, false, at(11)}, now);
    CHECK(!page->whole);
    CHECK(std::get<pause_reading>(follower.next_call(now)).until ==
          now + 300ms);
    now += 300ms;
    CHECK(std::get<watch_items>(follower.next_call(now)).after ==
          store_revision(11));
}

TEST(store_follower, lists_again_after_history_loss)
{
    list(10);
    follower.failed(store_fault::history_lost, now);
    CHECK(std::holds_alternative<list_items>(follower.next_call(now)));
}

TEST(store_follower, an_interrupted_list_restarts)
{
    follower.handle_page({{change("a", 1)}, true, at(10)}, now);
    follower.failed(store_fault::unavailable, now);
    now += 2s;
    CHECK(std::get<list_items>(follower.next_call(now)).after_key.empty());
    const auto page =
        follower.handle_page({{change("b", 20)}, false, at(20)}, now);
    CHECK_EQUAL(1, page->changes.size());
}

TEST(store_follower, retry_pauses_are_bounded)
{
    list(10);
    for (int i = 0; i < 10; ++i) {
        follower.failed(store_fault::unavailable, now);
        CHECK(!follower.in_contact());
        const auto call = follower.next_call(now);
        const duration pause = std::get<pause_reading>(call).until - now;
        CHECK(pause >= 75ms);
        CHECK(pause <= 1200ms);
    }
    now += 1200ms;
    CHECK(std::get<watch_items>(follower.next_call(now)).after ==
          store_revision(10));
}

TEST(store_follower, the_revision_never_goes_back)
{
    list(10);
    follower.handle_page({{}, false, at(4)}, now);
    CHECK(follower.position() == at(10));
}

// Revisions are assigned again after a restore, so the answer to a watch can
// look like the next one of the old history.
TEST(store_follower, a_watch_that_is_answered_in_a_later_era_lists_again)
{
    list(10);
    const auto page =
        follower.handle_page({{change("a", 12)}, false, at(12, 2)}, now);
    CHECK(page->changes.empty());
    CHECK(std::get<list_items>(follower.next_call(now)).after_key.empty());
    list(6, 2);
    CHECK(follower.position() == at(6, 2));
    CHECK(std::get<watch_items>(follower.next_call(now)).after ==
          store_revision(6));
}

TEST(store_follower, a_list_across_two_eras_restarts)
{
    follower.handle_page({{change("a", 1)}, true, at(10)}, now);
    follower.handle_page({{change("b", 2)}, false, at(4, 2)}, now);
    CHECK(std::get<list_items>(follower.next_call(now)).after_key.empty());
    const auto page =
        follower.handle_page({{change("c", 3)}, false, at(5, 2)}, now);
    CHECK(page->whole);
    CHECK_EQUAL(1, page->changes.size());
}

TEST(store_follower, an_answer_of_an_earlier_era_is_a_failed_call)
{
    list(10, 3);
    CHECK(!follower.handle_page({{change("a", 90)}, false, at(90, 2)}, now));
    CHECK(!follower.in_contact());
    CHECK(follower.position() == at(10, 3));
}
