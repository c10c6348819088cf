#include "systems/rates/rate_borrower.hpp"

#include "fakes/manual_role_view.hpp"
#include "fakes/sample_settings.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(rate_borrower)
{
    std::shared_ptr<const settings_index> settings = fakes::sample_index();
    fakes::manual_role_view roles{settings};
    rate_borrower borrower{roles};
    outbox out;
    time_point t0 = time_point(seconds(100));
    workspace_id w = id_of<workspace_id>("w0");
    vm_id home = id_of<vm_id>("vm-1");

    void setup() override
    {
        roles.believe_all(home);
        borrower.settings_changed(settings);
    }

    std::vector<loan_ask> asks()
    {
        std::vector<loan_ask> list;
        for (const auto& message : out.take_peer_messages()) {
            list.push_back(std::get<loan_ask>(message.body));
        }
        return list;
    }

    void request(std::uint64_t caller, time_point now)
    {
        borrower.request(caller_token(caller), w, milliseconds(100), now, out);
    }

    std::size_t granted()
    {
        std::size_t count = 0;
        for (const auto& decision : borrower.take_decisions()) {
            count += decision.granted ? 1 : 0;
        }
        return count;
    }
};

TEST(rate_borrower, waits_for_a_grant_and_spends_it)
{
    request(1, t0);
    CHECK_EQUAL(0, borrower.take_decisions().size());
    const loan_ask ask = asks().at(0);
    CHECK(ask.wanted >= 1000);
    borrower.receive(home, {w, ask.round, 2000, seconds(1)}, t0, out);
    CHECK_EQUAL(1, granted());
    request(2, t0);
    CHECK_EQUAL(1, granted());
}

TEST(rate_borrower, at_most_one_ask_per_workspace_is_in_flight)
{
    request(1, t0);
    request(2, t0);
    request(3, t0);
    CHECK_EQUAL(1, asks().size());
}

TEST(rate_borrower, refuses_after_the_maximum_wait)
{
    request(1, t0);
    borrower.tick(t0 + milliseconds(99), out);
    CHECK_EQUAL(0, borrower.take_decisions().size());
    borrower.tick(t0 + milliseconds(100), out);
    const auto decisions = borrower.take_decisions();
    CHECK_EQUAL(1, decisions.size());
    CHECK_FALSE(decisions.at(0).granted);
    CHECK_EQUAL(0, borrower.waiting_count());
}

TEST(rate_borrower, validity_of_a_loan_counts_from_the_ask)
{
    request(1, t0);
    const loan_ask ask = asks().at(0);
    const time_point late = t0 + milliseconds(60);
    borrower.receive(home, {w, ask.round, 9000, milliseconds(50)}, late, out);
    CHECK_EQUAL(0, granted());
    CHECK_EQUAL(0, borrower.tokens_held(w, late));
}

TEST(rate_borrower, grant_of_an_earlier_round_is_dropped)
{
    request(1, t0);
    const loan_ask first = asks().at(0);
    borrower.tick(t0 + milliseconds(250), out);
    roles.believe_all(home);
    request(2, t0 + milliseconds(251));
    CHECK_EQUAL(1, asks().size());
    borrower.receive(home, {w, first.round, 9000, seconds(1)},
                     t0 + milliseconds(252), out);
    CHECK_EQUAL(0, granted());
    CHECK_EQUAL(0, borrower.tokens_held(w, t0 + milliseconds(252)));
}

TEST(rate_borrower, duplicated_grant_counts_once)
{
    request(1, t0);
    const loan_grant grant{w, asks().at(0).round, 9000, seconds(1)};
    borrower.receive(home, grant, t0, out);
    borrower.receive(home, grant, t0, out);
    CHECK_EQUAL(8000, borrower.tokens_held(w, t0));
}

TEST(rate_borrower, loans_expire_during_a_process_pause)
{
    request(1, t0);
    borrower.receive(home, {w, asks().at(0).round, 9000, seconds(1)}, t0, out);
    granted();
    request(2, t0 + seconds(30));
    CHECK_EQUAL(0, granted());
}

TEST(rate_borrower, unresponsive_home_is_cleared)
{
    request(1, t0);
    borrower.tick(t0 + milliseconds(250), out);
    const auto group = roles.map().home_group(w);
    CHECK_FALSE(roles.believed_holder(group).is_set());
}

TEST(rate_borrower, answer_of_a_vm_that_is_not_the_home_clears_it)
{
    request(1, t0);
    borrower.receive(home, {w, asks().at(0).round, 0, duration(0)}, t0, out);
    const auto group = roles.map().home_group(w);
    CHECK_FALSE(roles.believed_holder(group).is_set());
}

TEST(rate_borrower, unused_tokens_are_returned)
{
    request(1, t0);
    borrower.receive(home, {w, asks().at(0).round, 9000, seconds(1)}, t0, out);
    borrower.tick(t0 + milliseconds(600), out);
    const loan_ask ask = asks().at(0);
    CHECK_EQUAL(8000, ask.returned);
    CHECK_EQUAL(0, ask.held);
    CHECK_EQUAL(0, borrower.tokens_held(w, t0 + milliseconds(600)));
}

TEST(rate_borrower, leaving_returns_everything)
{
    request(1, t0);
    borrower.receive(home, {w, asks().at(0).round, 9000, seconds(1)}, t0, out);
    borrower.release_all(t0, out);
    CHECK_EQUAL(8000, asks().at(0).returned);
    CHECK_EQUAL(0, borrower.tokens_held(w, t0));
}

TEST(rate_borrower, cancelled_request_takes_no_token)
{
    request(1, t0);
    borrower.cancel(caller_token(1));
    borrower.receive(home, {w, asks().at(0).round, 1000, seconds(1)}, t0, out);
    CHECK_EQUAL(0, borrower.take_decisions().size());
    CHECK_EQUAL(1000, borrower.tokens_held(w, t0));
}

TEST(rate_borrower, prefetches_tokens_under_steady_demand)
{
    for (int i = 0; i < 200; ++i) {
        const time_point t = t0 + milliseconds(5 * i);
        request(i, t);
        for (const auto& ask : asks()) {
            borrower.receive(home, {w, ask.round, ask.wanted, seconds(1)}, t,
                             out);
        }
    }
    CHECK_EQUAL(200, granted());
    CHECK(borrower.tokens_held(w, t0 + seconds(1)) >= 5000);
    CHECK(borrower.tokens_held(w, t0 + seconds(1)) <= 25000);
}

TEST(rate_borrower, idle_pools_are_dropped)
{
    request(1, t0);
    borrower.tick(t0 + seconds(20), out);
    CHECK_EQUAL(0, borrower.pool_count());
}
