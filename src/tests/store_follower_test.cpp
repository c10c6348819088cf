#include "systems/store/store_follower.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(store_follower)
{
    seeded_random random{5};
    store_follower follower{300ms, random};
    time_point now{1h};

    static store_change change(const std::string& key, std::uint64_t revision)
    {
        return {key, store_revision(revision), removed_item{}, {}};
    }
    void list(std::uint64_t at)
    {
        follower.handle_page({{}, false, store_revision(at)}, now);
    }
};

TEST(store_follower, lists_page_by_page_and_watches_from_the_first)
{
    CHECK(std::get<list_items>(follower.next_call(now)).after_key.empty());
    CHECK(follower
              .handle_page(
                  {{change("a", 1), change("b", 2)}, true, store_revision(10)},
                  now)
              .changes.empty());
    STRCMP_EQUAL(
        "b", std::get<list_items>(follower.next_call(now)).after_key.c_str());
    const auto page = follower.handle_page(
        {{change("c", 12)}, false, store_revision(13)}, now);
    CHECK(page.whole);
    CHECK_EQUAL(3, page.changes.size());
    CHECK(std::get<watch_items>(follower.next_call(now)).after ==
          store_revision(10));
}

TEST(store_follower, changes_between_watches_arrive_together)
{
    list(10);
    const auto page = follower.handle_page(
        {{change("a", 11)}, false, store_revision(11)}, now);
    CHECK(!page.whole);
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
    follower.handle_page({{change("a", 1)}, true, store_revision(10)}, now);
    follower.failed(store_fault::unavailable, now);
    now += 2s;
    CHECK(std::get<list_items>(follower.next_call(now)).after_key.empty());
    const auto page = follower.handle_page(
        {{change("b", 20)}, false, store_revision(20)}, now);
    CHECK_EQUAL(1, page.changes.size());
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
    follower.handle_page({{}, false, store_revision(4)}, now);
    CHECK(follower.revision() == store_revision(10));
}
