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
        take({{}, false, at(revision, era)});
    }
    /** Returns what a page that must be used gives. */
    followed_page take(store_page page)
    {
        return std::get<followed_page>(
            follower.handle_page(std::move(page), now));
    }
    /** Returns why a page that must not be used is refused. */
    refused_page refused(store_page page)
    {
        return std::get<refused_page>(
            follower.handle_page(std::move(page), now));
    }
    /** Returns the pause before the next call; zero if there is none. */
    duration pause()
    {
        const store_call call = follower.next_call(now);
        const auto* until = std::get_if<pause_reading>(&call);
        return until == nullptr ? duration(0) : until->until - now;
    }
};

TEST(store_follower, lists_page_by_page_and_watches_from_the_first)
{
    CHECK(std::get<list_items>(follower.next_call(now)).after_key.empty());
    CHECK(
        take({{change("a", 1), change("b", 2)}, true, at(10)}).changes.empty());
    STRCMP_EQUAL(
        "b", std::get<list_items>(follower.next_call(now)).after_key.c_str());
    const auto page = take({{change("c", 12)}, false, at(13)});
    CHECK(page.whole);
    CHECK_EQUAL(3, page.changes.size());
    CHECK(std::get<watch_items>(follower.next_call(now)).after ==
          store_revision(10));
}

TEST(store_follower, changes_between_watches_arrive_together)
{
    list(10);
    const auto page = take({{change("a", 11)}, false, at(11)});
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
    take({{change("a", 1)}, true, at(10)});
    follower.failed(store_fault::unavailable, now);
    now += 2s;
    CHECK(std::get<list_items>(follower.next_call(now)).after_key.empty());
    const auto page = take({{change("b", 20)}, false, at(20)});
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
    take({{}, false, at(4)});
    CHECK(follower.position() == at(10));
}

// Revisions are assigned again after a restore, so the answer to a watch can
// look like the next one of the old history.
TEST(store_follower, a_watch_that_is_answered_in_a_later_era_lists_again)
{
    list(10);
    const auto page = take({{change("a", 12)}, false, at(12, 2)});
    CHECK(page.changes.empty());
    CHECK(std::get<list_items>(follower.next_call(now)).after_key.empty());
    list(6, 2);
    CHECK(follower.position() == at(6, 2));
    CHECK(std::get<watch_items>(follower.next_call(now)).after ==
          store_revision(6));
}

TEST(store_follower, a_list_across_two_eras_restarts)
{
    take({{change("a", 1)}, true, at(10)});
    take({{change("b", 2)}, false, at(4, 2)});
    CHECK(std::get<list_items>(follower.next_call(now)).after_key.empty());
    const auto page = take({{change("c", 3)}, false, at(5, 2)});
    CHECK(page.whole);
    CHECK_EQUAL(1, page.changes.size());
}

TEST(store_follower, an_answer_of_an_earlier_era_is_a_failed_call)
{
    list(10, 3);
    CHECK(refused({{change("a", 90)}, false, at(90, 2)}).why ==
          page_fault::earlier_era);
    CHECK(!follower.in_contact());
    CHECK(follower.position() == at(10, 3));
}

// RECOVER: a store that read another key repeated one page for ever, and the
// list was asked for without a pause.
TEST(store_follower, a_list_that_makes_no_progress_is_refused_and_waits)
{
    for (int tries = 0; tries < 6; ++tries) {
        take({{change("a", 1), change("b&c", 2)}, true, at(10)});
        const refused_page why =
            refused({{change("a", 1), change("b&c", 2)}, true, at(10)});
        CHECK(why.why == page_fault::no_progress);
        STRCMP_EQUAL("b&c", why.after_key.c_str());
        CHECK_EQUAL(2U, why.items);
        CHECK(!follower.in_contact());
        CHECK(pause() >= (tries < 3 ? 75ms * (1 << tries) : 600ms));
        now += 2s;
    }
}

TEST(store_follower, an_empty_page_that_says_there_is_more_ends_no_list)
{
    take({{change("a", 1)}, true, at(10)});
    CHECK(refused({{}, true, at(10)}).why == page_fault::no_progress);
    now += 2s;
    CHECK(std::get<list_items>(follower.next_call(now)).after_key.empty());
}

TEST(store_follower, a_page_that_repeats_some_items_goes_on)
{
    take({{change("a", 1), change("b", 2)}, true, at(10)});
    take({{change("b", 2), change("c", 3)}, true, at(10)});
    CHECK(take({{change("d", 4)}, false, at(10)}).whole);
}

TEST(store_follower, a_list_without_end_is_refused)
{
    constexpr int items_of_page = 500;
    constexpr int pages = 101;
    int key = 0;
    for (int page = 0; page < pages; ++page) {
        store_page next{{}, true, at(10)};
        for (int i = 0; i < items_of_page; ++i) {
            next.changes.push_back(change(std::to_string(++key), 1));
        }
        if (page + 1 < pages) {
            take(std::move(next));
        } else {
            CHECK(refused(std::move(next)).why == page_fault::too_long);
        }
    }
}

TEST(store_follower, a_list_goes_on_behind_a_key_that_cannot_be_named)
{
    take({{change("servers/a\xef\xbf\xbdx", 1)}, true, at(10)});
    STRCMP_EQUAL(
        "servers/a\xff\xff\xff\xff",
        std::get<list_items>(follower.next_call(now)).after_key.c_str());
}

TEST(store_follower, a_page_of_items_without_keys_is_no_progress)
{
    CHECK(refused({{change("", 1)}, true, at(10)}).why ==
          page_fault::no_progress);
    now += 2s;
    CHECK(take({{change("", 1), change("a", 1)}, false, at(10)}).whole);
}

// A watch of a revision that the store never keeps would list without a pause.
TEST(store_follower, history_that_is_lost_again_and_again_is_waited_for)
{
    list(10);
    follower.failed(store_fault::history_lost, now);
    CHECK(pause() == duration(0));
    list(11);
    follower.failed(store_fault::history_lost, now);
    CHECK(pause() >= 75ms);
    now += 2s;
    list(12);
    take({{}, false, at(12)});
    now += 2s;
    follower.failed(store_fault::history_lost, now);
    CHECK(pause() == duration(0));
}

TEST(store_follower, watches_that_return_nothing_at_once_are_spaced)
{
    list(10);
    CHECK(std::holds_alternative<watch_items>(follower.next_call(now)));
    take({{}, false, at(10)});
    CHECK(pause() == 100ms);
    now += 100ms;
    CHECK(std::holds_alternative<watch_items>(follower.next_call(now)));
}

// A list of every VM that starts must not become a watch of every VM.
TEST(store_follower, a_single_list_is_serializable_and_ends)
{
    store_follower once(300ms, random, read_extent::one_list);
    CHECK(std::get<list_items>(once.next_call(now)).serializable);
    once.handle_page({{change("a", 1)}, true, at(10)}, now);
    const auto second = std::get<list_items>(once.next_call(now));
    CHECK(second.serializable);
    STRCMP_EQUAL("a", second.after_key.c_str());
    CHECK(std::get<followed_page>(once.handle_page({{}, false, at(10)}, now))
              .whole);
    CHECK(std::holds_alternative<stop_reading>(once.next_call(now)));
    CHECK_FALSE(std::get<list_items>(follower.next_call(now)).serializable);
}

// A store that is down gets two calls from a VM that starts, not one each
// second.
TEST(store_follower, a_single_list_is_attempted_twice)
{
    for (const store_fault fault :
         {store_fault::unavailable, store_fault::history_lost}) {
        store_follower once(300ms, random, read_extent::one_list);
        CHECK(std::holds_alternative<list_items>(once.next_call(now)));
        once.failed(fault, now);
        now += 2s;
        CHECK(std::holds_alternative<list_items>(once.next_call(now)));
        once.failed(fault, now);
        now += 2s;
        CHECK(std::holds_alternative<stop_reading>(once.next_call(now)));
    }
}
