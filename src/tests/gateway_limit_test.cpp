#include "fakes/gateway_driver.hpp"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP_BASE(gateway_limit, tests::gateway_driver)
{
    /** Requests a second that servers name, by server. */
    std::map<backend_server_id, double> named;
    std::map<backend_server_id, int> counts;

    void answer_all()
    {
        for (const start_exchange& start : std::exchange(started, {})) {
            ++counts[start.server];
            backend_answer answer;
            answer.status = 200;
            answer.receipt =
                "receipt-" + std::to_string(start.exchange.value());
            answer.message = std::make_shared<const relayed_message>();
            const auto limit = named.find(start.server);
            if (limit != named.end()) {
                answer.limit = limit->second;
            }
            feed(exchange_ended{start.exchange, answer});
        }
    }
    /** Asks every 10 ms and answers all that is sent. */
    void press(const std::string& path, duration length)
    {
        for (duration passed{0}; passed < length; passed += 10ms) {
            ask(path);
            answer_all();
            pass(10ms);
            answer_all();
        }
    }
    std::size_t refusals() const
    {
        std::size_t count = 0;
        for (const answer_to_caller& answer : answers) {
            count +=
                std::holds_alternative<refused_answer>(answer.answer) ? 1 : 0;
        }
        return count;
    }
};

// LIMIT: a server that had named a limit got what its latency allowed.
TEST(gateway_limit, a_server_gets_no_more_than_the_limit_that_it_named)
{
    const backend_server_id limited(1000);
    named[limited] = 2.0;
    press("/reads/1", 1s);
    counts.clear();
    press("/reads/2", 4s);
    CHECK(counts[limited] <= 8 + 1);
    CHECK(counts[limited] >= 6);
    // The others of the service take the rest.
    CHECK_EQUAL(0, refusals());
}

TEST(gateway_limit, all_sends_of_a_query_keep_to_it)
{
    for (std::uint64_t shard = 1; shard <= shards; ++shard) {
        named[backend_server_id(shard * 10)] = 2.0;
    }
    press("/search/1", 1s);
    counts.clear();
    press("/search/2", 4s);
    for (std::uint64_t shard = 1; shard <= shards; ++shard) {
        CHECK(counts[backend_server_id(shard * 10)] <= 9);
    }
    CHECK_EQUAL(0, refusals());
}

TEST(gateway_limit, what_all_servers_together_do_not_take_is_refused)
{
    for (std::uint64_t id = 1000; id < 1003; ++id) {
        named[backend_server_id(id)] = 1.0;
    }
    press("/orders/1", 1s);
    counts.clear();
    answers.clear();
    press("/orders/2", 4s);
    int taken = 0;
    for (const auto& [server, count] : counts) {
        CHECK(count <= 5);
        taken += count;
    }
    CHECK(taken >= 9);
    CHECK(refusals() > 300);
}

TEST(gateway_limit, a_limit_that_the_server_no_longer_names_has_ended)
{
    const backend_server_id limited(1000);
    named[limited] = 2.0;
    press("/reads/1", 2s);
    named.clear();
    press("/reads/2", 2s);
    counts.clear();
    press("/reads/3", 4s);
    CHECK(counts[limited] > 50);
}

TEST(gateway_limit, a_peers_word_is_kept_to_before_the_first_request)
{
    datagram_received told{"10.0.0.2:7000", {}};
    told.datagram.process = incarnation(9);
    told.datagram.settled = true;
    told.datagram.fleet_size = 2;
    told.datagram.limits = {{backend_server_id(1000), true, 2000, 1ms}};
    feed(told);
    named[backend_server_id(1000)] = 2.0;
    press("/reads/1", 4s);
    // Half of the limit is this VM's.
    CHECK(counts[backend_server_id(1000)] <= 4 + 1);
}
