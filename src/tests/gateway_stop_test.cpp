#include "fakes/gateway_driver.hpp"

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP_BASE(gateway_stop, tests::gateway_driver){
    void stop(){feed(vm_leaving{now + 2600ms, now + 5300ms});
}
void advance_to(time_point at)
{
    now = at;
    take(core.tick(now));
}
const refused_answer* last_refusal() const
{
    return answers.empty()
               ? nullptr
               : std::get_if<refused_answer>(&answers.back().answer);
}
}
;

// LOST: requests were passed on until the process ended, and cut.
TEST(gateway_stop, what_may_outlast_the_vm_is_refused_and_not_sent)
{
    stop();
    now += 2600ms;
    ask("/orders/1", "", 6s);
    CHECK_EQUAL(1U, started.size());
    now += 800ms;
    ask("/orders/2", "", 6s);
    CHECK_EQUAL(1U, started.size());
    CHECK(last_refusal()->why == refusal_reason::vm_stops);
    CHECK(last_refusal()->retry_after.has_value());
    ask("/orders/3", "", 1s);
    CHECK_EQUAL(2U, started.size());
}

TEST(gateway_stop, nothing_is_sent_once_all_must_be_answered)
{
    stop();
    now += 5300ms;
    ask("/orders/1", "", 1ms);
    CHECK(started.empty());
    CHECK(last_refusal()->why == refusal_reason::vm_stops);
}

TEST(gateway_stop, what_was_sent_is_answered_before_the_vm_ends)
{
    feed(vm_leaving{now + 100ms, now + 700ms});
    ask("/orders/1", "", 6s);
    CHECK_EQUAL(1U, started.size());
    CHECK(started[0].deadline <= 700ms);
    advance_to(now + 699ms);
    CHECK(answers.empty());
    advance_to(now + 1ms);
    CHECK_EQUAL(1U, answers.size());
    CHECK(std::get<failed_answer>(answers[0].answer).why ==
          failure_reason::timed_out);
    CHECK_EQUAL(1U, cancelled.size());
    CHECK_EQUAL(0U, core.open_request_count());
}

TEST(gateway_stop, requests_that_were_open_are_answered_too)
{
    ask("/orders/1", "", 6s);
    feed(vm_leaving{now + 100ms, now + 700ms});
    CHECK(answers.empty());
    advance_to(now + 700ms);
    CHECK(std::get<failed_answer>(answers.at(0).answer).why ==
          failure_reason::timed_out);
}

TEST(gateway_stop, an_answer_in_time_is_passed_on)
{
    ask("/orders/1", "", 6s);
    stop();
    now += 2s;
    reply(started[0].exchange, 200);
    CHECK(std::holds_alternative<relayed_answer>(answers.at(0).answer));
}
