#include "fakes/gateway_driver.hpp"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP_BASE(gateway_backoff, tests::gateway_driver){
    /** A server turns a request away and wants none for a time. */
    void turn_away(exchange_id exchange, duration wait,
                   unsigned status = 503){backend_answer answer;
answer.status = status;
answer.not_run = true;
answer.retry_after = wait;
answer.message = std::make_shared<const relayed_message>();
feed(exchange_ended{exchange, answer});
}
/** Turns all requests away until none is sent again. */
void turn_all_away(duration wait)
{
    while (!started.empty()) {
        for (const start_exchange& start : std::exchange(started, {})) {
            turn_away(start.exchange, wait);
        }
    }
}
/** Asks and answers for a time; returns the requests that a server got. */
std::map<backend_server_id, int> sends(const std::string& path, duration length)
{
    std::map<backend_server_id, int> counts;
    for (duration passed{0}; passed < length; passed += 20ms) {
        ask(path);
        for (const start_exchange& start : std::exchange(started, {})) {
            ++counts[start.server];
            reply(start.exchange, 200);
        }
        pass(20ms);
    }
    return counts;
}
const refused_answer& refusal() const
{
    return std::get<refused_answer>(answers.back().answer);
}
}
;

// BUDGET: servers got requests within the time for which they wanted none.
TEST(gateway_backoff, a_server_that_wants_no_requests_gets_none)
{
    earn_budget("/reads/0", 30);
    ask("/reads/1");
    const start_exchange first = std::exchange(started, {})[0];
    turn_away(first.exchange, 3s);
    for (const start_exchange& start : std::exchange(started, {})) {
        CHECK(start.server != first.server);
        reply(start.exchange, 200);
    }
    auto counts = sends("/reads/2", 2900ms);
    CHECK_EQUAL(0, counts[first.server]);
    pass(200ms);
    counts = sends("/reads/3", 3s);
    CHECK(counts[first.server] > 0);
}

TEST(gateway_backoff, a_shorter_wait_does_not_end_a_longer_one)
{
    ask("/orders/1");
    const start_exchange first = std::exchange(started, {})[0];
    turn_away(first.exchange, 3s);
    const std::size_t again = started.size();
    CHECK_EQUAL(1, again);
    ask("/orders/2");
    turn_away(std::exchange(started, {})[0].exchange, 100ms);
    CHECK_EQUAL(0, sends("/reads/2", 2s)[first.server]);
}

TEST(gateway_backoff, a_request_is_refused_until_the_first_server_reopens)
{
    earn_budget("/orders/0", 30);
    ask("/orders/1", "", 300ms);
    turn_all_away(2s);
    CHECK(refusal().why == refusal_reason::no_server);
    CHECK(refusal().retry_after.value() > 1900ms);
    CHECK(refusal().retry_after.value() <= 2s);
    // The next one is refused at once, before it is sent anywhere.
    answers.clear();
    ask("/orders/2", "", 300ms);
    CHECK_EQUAL(0, started.size());
    CHECK_EQUAL(1, answers.size());
    CHECK(refusal().retry_after.value() > 1900ms);
}

TEST(gateway_backoff, a_request_that_can_wait_is_sent_when_a_server_reopens)
{
    earn_budget("/orders/0", 30);
    ask("/orders/1");
    turn_all_away(500ms);
    CHECK_EQUAL(1, answers.size());
    ask("/orders/2");
    pass(495ms);
    CHECK_EQUAL(0, started.size());
    pass(10ms);
    CHECK_EQUAL(1, started.size());
    CHECK_EQUAL(1, answers.size());
}

TEST(gateway_backoff, a_query_leaves_out_a_shard_that_wants_no_requests)
{
    earn_budget("/search/0", 30);
    ask("/search/1");
    const service_id closed = service_of(1);
    while (!started.empty()) {
        for (const start_exchange& start : std::exchange(started, {})) {
            const bool turned =
                start.server.value() / 10 == 1 && closed == service_of(1);
            if (turned) {
                turn_away(start.exchange, 2s);
            } else {
                reply(start.exchange, 200);
            }
        }
    }
    CHECK_EQUAL(1, answers.size());
    CHECK_EQUAL(1U, std::get<gathered_answer>(answers[0].answer).missing);
}

TEST(gateway_backoff, a_query_without_its_least_share_is_refused_unsent)
{
    earn_budget("/search/0", 60);
    ask("/search/1");
    turn_all_away(2s);
    answers.clear();
    ask("/search/2");
    CHECK_EQUAL(0, started.size());
    CHECK(refusal().why == refusal_reason::no_server);
    CHECK(refusal().retry_after.value() > 1500ms);
}

TEST(gateway_backoff, only_a_503_closes_a_server)
{
    ask("/orders/1");
    const start_exchange first = std::exchange(started, {})[0];
    turn_away(first.exchange, 3s, 429);
    started.clear();
    pass(2s);
    CHECK(sends("/reads/2", 2s)[first.server] > 0);
}

// DRAIN: a server that said in its answers that it is leaving got requests.
TEST(gateway_backoff, a_server_that_is_leaving_gets_no_new_requests)
{
    ask("/reads/1");
    const start_exchange first = std::exchange(started, {})[0];
    backend_answer answer;
    answer.status = 200;
    answer.receipt = "receipt";
    answer.leaving = true;
    answer.message = std::make_shared<const relayed_message>();
    feed(exchange_ended{first.exchange, answer});
    CHECK_EQUAL(1, answers.size());
    CHECK_EQUAL(0, sends("/reads/2", 3s)[first.server]);
    // A later report under the same start does not bring it back; a new start
    // does.
    backend_server_entry entry;
    entry.id = first.server;
    entry.service = service_of(100);
    entry.name = first.server_name;
    entry.sequence = 5;
    feed(servers_reported{{entry}, false});
    CHECK_EQUAL(0, sends("/reads/3", 3s)[first.server]);
    entry.born_ms = 7;
    entry.sequence = 1;
    feed(servers_reported{{entry}, false});
    CHECK(sends("/reads/4", 3s)[first.server] > 0);
}
