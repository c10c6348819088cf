#include "systems/rates/rate_home.hpp"

#include "fakes/manual_role_view.hpp"
#include "fakes/sample_settings.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The sample's workspaces have a rate of 100 requests per second and a burst
// of 50.
TEST_GROUP(rate_home)
{
    std::shared_ptr<const settings_index> settings = fakes::sample_index();
    fakes::manual_role_view roles{settings};
    rate_home home{roles};
    outbox out;
    time_point t0 = time_point(seconds(100));
    workspace_id w = id_of<workspace_id>("w0");
    vm_id a = id_of<vm_id>("vm-0");
    vm_id b = id_of<vm_id>("vm-1");

    void setup() override
    {
        roles.hold_all_until(t0 + seconds(1000));
        home.settings_changed(settings, t0);
        home.start(w, t0);
    }

    std::vector<loan_grant> grants()
    {
        std::vector<loan_grant> list;
        for (const auto& message : out.take_peer_messages()) {
            list.push_back(std::get<loan_grant>(message.body));
        }
        return list;
    }

    std::uint64_t granted()
    {
        std::uint64_t sum = 0;
        for (const auto& grant : grants()) {
            sum += grant.granted;
        }
        return sum;
    }
};

TEST(rate_home, new_home_starts_empty)
{
    home.receive(a, {w, 1, 5000, 0, 0}, t0, out);
    CHECK_EQUAL(0, granted());
    home.tick(t0 + milliseconds(100), out);
    CHECK_EQUAL(5000, granted());
}

TEST(rate_home, tokens_and_open_loans_never_exceed_the_burst)
{
    const time_point t1 = t0 + seconds(10);
    home.receive(a, {w, 1, 20000, 0, 0}, t1, out);
    CHECK_EQUAL(20000, granted());
    home.tick(t1 + milliseconds(900), out);
    CHECK_EQUAL(50000, home.committed_tokens(w, t1 + milliseconds(900)));
}

TEST(rate_home, spent_tokens_are_refilled_from_their_report_on)
{
    const time_point t1 = t0 + seconds(10);
    home.receive(a, {w, 1, 20000, 0, 0}, t1, out);
    home.receive(a, {w, 2, 0, 0, 0}, t1 + milliseconds(500), out);
    CHECK_EQUAL(30000, home.committed_tokens(w, t1 + milliseconds(500)));
    home.tick(t1 + milliseconds(600), out);
    CHECK_EQUAL(40000, home.committed_tokens(w, t1 + milliseconds(600)));
}

TEST(rate_home, returned_tokens_are_credited_once)
{
    const time_point t1 = t0 + seconds(10);
    home.receive(a, {w, 1, 20000, 0, 0}, t1, out);
    home.receive(a, {w, 2, 0, 0, 20000}, t1, out);
    home.receive(a, {w, 3, 0, 0, 20000}, t1, out);
    CHECK_EQUAL(50000, home.committed_tokens(w, t1));
}

TEST(rate_home, return_of_an_expired_loan_is_not_credited)
{
    const time_point t1 = t0 + seconds(10);
    home.receive(a, {w, 1, 20000, 0, 0}, t1, out);
    const time_point t2 = t1 + seconds(2);
    home.tick(t2, out);
    home.receive(b, {w, 1, 20000, 0, 0}, t2, out);
    home.receive(a, {w, 2, 0, 0, 20000}, t2, out);
    CHECK_EQUAL(50000, home.committed_tokens(w, t2));
}

TEST(rate_home, ask_of_an_earlier_round_is_ignored)
{
    const time_point t1 = t0 + seconds(10);
    home.receive(a, {w, 2, 20000, 0, 0}, t1, out);
    home.receive(a, {w, 1, 20000, 0, 20000}, t1, out);
    CHECK_EQUAL(1, grants().size());
    CHECK_EQUAL(50000, home.committed_tokens(w, t1));
}

TEST(rate_home, loan_ends_before_the_lease)
{
    roles.hold_all_until(t0 + milliseconds(500));
    const time_point t1 = t0 + milliseconds(200);
    home.receive(a, {w, 1, 5000, 0, 0}, t1, out);
    const auto list = grants();
    CHECK_EQUAL(5000, list.at(0).granted);
    CHECK(list.at(0).valid_for < milliseconds(300));
    CHECK(list.at(0).valid_for > milliseconds(290));
}

TEST(rate_home, expired_lease_grants_nothing)
{
    roles.hold_all_until(t0 + seconds(1));
    home.receive(a, {w, 1, 5000, 0, 0}, t0 + seconds(1), out);
    const auto list = grants();
    CHECK_EQUAL(0, list.at(0).granted);
    CHECK(list.at(0).valid_for == duration(0));
}

TEST(rate_home, waiting_ask_is_refused_after_the_lease_expires)
{
    roles.hold_all_until(t0 + milliseconds(50));
    home.receive(a, {w, 1, 5000, 0, 0}, t0, out);
    home.tick(t0 + milliseconds(90), out);
    CHECK_EQUAL(0, granted());
}

TEST(rate_home, borrower_that_got_less_is_served_first)
{
    home.receive(a, {w, 1, 50000, 0, 0}, t0 + seconds(10), out);
    grants();
    for (int i = 0; i < 10; ++i) {
        const time_point t = t0 + seconds(10) + milliseconds(100 * i);
        home.receive(a, {w, std::uint64_t(2 + i), 50000, 0, 0}, t, out);
        home.receive(b, {w, std::uint64_t(1 + i), 1000, 0, 0}, t, out);
        home.tick(t + milliseconds(20), out);
        bool served = false;
        for (const auto& message : out.take_peer_messages()) {
            const auto& grant = std::get<loan_grant>(message.body);
            served = served || (message.to == b && grant.granted == 1000);
        }
        CHECK(served);
    }
}

TEST(rate_home, draining_home_grants_nothing_and_waits_for_its_loans)
{
    const time_point t1 = t0 + seconds(10);
    home.receive(a, {w, 1, 5000, 0, 0}, t1, out);
    home.drain(w);
    home.receive(b, {w, 1, 5000, 0, 0}, t1, out);
    CHECK_EQUAL(5000, granted());
    CHECK_FALSE(home.drained(w, t1));
    home.receive(a, {w, 2, 0, 0, 5000}, t1, out);
    CHECK(home.drained(w, t1));
}

TEST(rate_home, restarted_borrower_starts_its_rounds_again)
{
    const time_point t1 = t0 + seconds(10);
    home.receive(a, {w, 9, 5000, 0, 0}, t1, out);
    home.peer_restarted(a);
    home.receive(a, {w, 1, 5000, 0, 0}, t1, out);
    CHECK_EQUAL(10000, granted());
    CHECK_EQUAL(45000, home.committed_tokens(w, t1));
}

TEST(rate_home, idle_borrowers_are_dropped)
{
    home.receive(a, {w, 1, 1000, 0, 0}, t0, out);
    home.tick(t0 + seconds(20), out);
    CHECK_EQUAL(0, home.borrower_count());
}
