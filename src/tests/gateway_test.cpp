#include "fakes/gateway_driver.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <set>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

/** A fault of a backend server and the expected handling of the request. */
struct fault_row
{
    const char* name;
    bool repeatable;
    bool written;
    /** Status of the answer; 0 if there is none. */
    unsigned status;
    bool not_run;
    bool receipt;
    /** The request is sent to another server. */
    bool sent_again;
    /** Expected kind of answer after the same fault at the second server. */
    const char* answer;
};

const char* kind_of(const gateway_answer& answer)
{
    struct visitor
    {
        const char* operator()(const relayed_answer&) const
        {
            return "relayed";
        }
        const char* operator()(const gathered_answer&) const
        {
            return "gathered";
        }
        const char* operator()(const refused_answer&) const
        {
            return "refused";
        }
        const char* operator()(const failed_answer&) const
        {
            return "failed";
        }
    };
    return std::visit(visitor{}, answer);
}

void apply_fault(tests::gateway_driver& vm, exchange_id exchange,
                 const fault_row& row)
{
    if (row.status == 0) {
        vm.lose(exchange, row.written);
    } else {
        vm.reply(exchange, row.status, row.not_run, row.receipt);
    }
}

} // namespace

TEST_GROUP_BASE(gateway, tests::gateway_driver){};

TEST(gateway, a_request_goes_to_one_server_and_its_answer_back)
{
    const caller_token token = ask("/orders/1");
    CHECK_EQUAL(1, started.size());
    CHECK(!started[0].repeatable);
    reply(started[0].exchange, 200);
    CHECK_EQUAL(1, answers.size());
    CHECK(answers[0].token == token);
    const auto& relayed = std::get<relayed_answer>(answers[0].answer);
    CHECK_EQUAL(200U, relayed.message->status);
    CHECK(!relayed.receipt.empty());
}

// A non-repeatable request is sent to another server, or refused, only if the
// first server is proved not to have run it.
TEST(gateway, faults_of_backend_servers)
{
    const fault_row table[] = {
        {"connection refused", false, false, 0, false, false, true, "refused"},
        {"connection refused", true, false, 0, false, false, true, "refused"},
        {"reset after writing", false, true, 0, false, false, false, "failed"},
        {"reset after writing", true, true, 0, false, false, true, "failed"},
        {"full, not run", false, true, 503, true, false, true, "refused"},
        {"full, not run", true, true, 503, true, false, true, "refused"},
        {"503 without proof", false, true, 503, false, true, false, "failed"},
        {"503 without proof", true, true, 503, false, true, true, "failed"},
        {"429 without proof", true, true, 429, false, true, false, "failed"},
        {"408 without proof", true, true, 408, false, true, false, "failed"},
        {"own failure", false, true, 500, false, true, false, "relayed"},
        {"own failure", true, true, 500, false, true, true, "relayed"},
        {"success without receipt", false, true, 200, false, false, false,
         "failed"},
        {"success without receipt", true, true, 200, false, false, true,
         "failed"},
        {"not found", false, true, 404, false, true, false, "relayed"},
        {"not found", true, true, 404, false, true, false, "relayed"},
    };
    for (const fault_row& row : table) {
        const std::string path = row.repeatable ? "/reads/" : "/orders/";
        earn_budget(path, 60);
        pass(3s);
        started.clear();
        ask(path);
        CHECK_EQUAL(1, started.size());
        apply_fault(*this, started[0].exchange, row);
        LONGS_EQUAL_TEXT(row.sent_again ? 2 : 1, started.size(), row.name);
        for (std::size_t i = 1; i < started.size(); ++i) {
            CHECK(started[i].server != started[0].server);
            apply_fault(*this, started[i].exchange, row);
        }
        LONGS_EQUAL_TEXT(1, answers.size(), row.name);
        STRCMP_EQUAL_TEXT(row.answer, kind_of(answers[0].answer), row.name);
        answers.clear();
    }
}

TEST(gateway, retries_stay_within_the_budget)
{
    int again = 0;
    for (int i = 0; i < 100; ++i) {
        ask("/reads/1");
        const auto first = std::exchange(started, {});
        lose(first[0].exchange, true);
        again += started.empty() ? 0 : 1;
        for (const start_exchange& start : std::exchange(started, {})) {
            reply(start.exchange, 200);
        }
    }
    // 17 extra sends per 100 requests, plus the fixed allowance.
    CHECK(again >= 17);
    CHECK(again <= 17 + 20);
}

TEST(gateway, a_gather_asks_every_shard_and_merges)
{
    ask("/search/1");
    CHECK_EQUAL(shards, started.size());
    std::vector<service_id> asked;
    for (const start_exchange& start : std::exchange(started, {})) {
        asked.push_back(service_id(start.server.value() / 10));
        reply(start.exchange, 200, false, true,
              std::string(16, static_cast<char>('a' + asked.size())));
    }
    std::sort(asked.begin(), asked.end());
    CHECK(std::unique(asked.begin(), asked.end()) == asked.end());
    const auto& gathered = std::get<gathered_answer>(answers[0].answer);
    CHECK_EQUAL(shards, gathered.receipts.size());
    CHECK_EQUAL(0U, gathered.missing);
    CHECK(gathered.records ==
          std::string(16, 'k') + std::string(16, 'j') + std::string(16, 'i'));
}

// A VM of 0.12 cores spends tens of milliseconds on the sends of one query;
// most answers that left 4 ms before the target came late.
TEST(gateway, a_gather_answers_with_a_missing_part_before_its_target)
{
    ask("/search/1");
    for (std::size_t i = 0; i + 1 < shards; ++i) {
        reply(started[i].exchange, 200);
    }
    pass(85ms);
    CHECK_EQUAL(0, answers.size());
    pass(2ms);
    CHECK_EQUAL(1, answers.size());
    CHECK_EQUAL(1U, std::get<gathered_answer>(answers[0].answer).missing);
}

// The first request of a caller 3 ms away has taken two round trips when its
// answer arrives: an answer that leaves 8 ms before the target is late.
TEST(gateway, an_incomplete_gather_leaves_in_time_for_a_distant_caller)
{
    ask("/search/1", "", 5s, 12800us);
    for (std::size_t i = 0; i + 1 < shards; ++i) {
        reply(started[i].exchange, 200);
    }
    pass(72ms);
    CHECK_EQUAL(0, answers.size());
    pass(2ms);
    CHECK_EQUAL(1, answers.size());
}

// Under the load of many VMs, a VM's budget for one shard is often empty when
// a call is late. The hedge is sent as soon as other requests have earned it.
TEST(gateway, a_hedge_without_budget_is_sent_once_it_is_earned)
{
    earn_budget("/search/1", 60);
    // Spend the budget of the first shard on calls that are late.
    for (int i = 0; i < 60; ++i) {
        ask("/search/1");
        const auto sent = std::exchange(started, {});
        for (std::size_t call = 1; call < shards; ++call) {
            reply(sent[call].exchange, 200);
        }
        pass(40ms);
        for (const start_exchange& hedge : std::exchange(started, {})) {
            reply(hedge.exchange, 200);
        }
        reply(sent[0].exchange, 200);
    }
    answers.clear();
    ask("/search/1");
    const auto late = std::exchange(started, {});
    for (std::size_t call = 1; call < shards; ++call) {
        reply(late[call].exchange, 200);
    }
    pass(40ms);
    CHECK_EQUAL(0, started.size());
    for (int i = 0; i < 6; ++i) {
        ask("/search/2");
        for (const start_exchange& other : std::exchange(started, {})) {
            reply(other.exchange, 200);
        }
    }
    pass(15ms);
    CHECK_EQUAL(1, started.size());
    CHECK_EQUAL(late[0].server.value() / 10, started[0].server.value() / 10);
}

TEST(gateway, a_gather_without_its_least_share_fails_at_the_deadline)
{
    ask("/search/1", "", 300ms);
    for (std::size_t i = 0; i + 2 < shards; ++i) {
        reply(started[i].exchange, 200);
    }
    pass(299ms);
    CHECK_EQUAL(0, answers.size());
    pass(2ms);
    CHECK(std::get<failed_answer>(answers[0].answer).why ==
          failure_reason::timed_out);
    CHECK(cancelled.size() >= 2);
}

TEST(gateway, a_gather_that_cannot_have_its_least_share_fails_at_once)
{
    for (std::uint64_t id = 10; id <= 32; ++id) {
        feed(server_unlisted{backend_server_id(id)});
    }
    ask("/search/1");
    CHECK_EQUAL(1, answers.size());
}

TEST(gateway, a_slow_call_is_hedged_once_to_another_server)
{
    earn_budget("/search/1", 60);
    ask("/search/1");
    const auto first = std::exchange(started, {});
    for (std::size_t i = 1; i < shards; ++i) {
        reply(first[i].exchange, 200);
    }
    pass(80ms);
    CHECK_EQUAL(1, started.size());
    CHECK(started[0].server != first[0].server);
    CHECK_EQUAL(first[0].server.value() / 10, started[0].server.value() / 10);
    reply(started[0].exchange, 200);
    CHECK_EQUAL(0U, std::get<gathered_answer>(answers[0].answer).missing);
    // The slow exchange may finish for 300 ms; then it is cancelled.
    CHECK_EQUAL(0, cancelled.size());
    pass(301ms);
    CHECK_EQUAL(1, cancelled.size());
    CHECK(cancelled[0] == first[0].exchange);
}

TEST(gateway, a_request_that_may_not_be_repeated_is_never_hedged)
{
    ask("/orders/1");
    pass(1s);
    CHECK_EQUAL(1, started.size());
}

TEST(gateway, exchanges_are_cancelled_when_the_caller_disconnects)
{
    const caller_token token = ask("/search/1");
    feed(caller_disconnected{token});
    CHECK_EQUAL(shards, cancelled.size());
    reply(started[0].exchange, 200);
    pass(1s);
    CHECK_EQUAL(0, answers.size());
    CHECK_EQUAL(0, core.open_request_count());
}

TEST(gateway, keys_open_keyed_routes_only_to_their_workspace)
{
    ask("/keyed/1", "wrong");
    CHECK(std::get<refused_answer>(answers[0].answer).why ==
          refusal_reason::key_unknown);
    ask("/keyed/1", "key");
    CHECK_EQUAL(1, started.size());
    STRCMP_EQUAL("desk", started[0].workspace.c_str());
    ask("/nowhere/1");
    CHECK(std::get<refused_answer>(answers[1].answer).why ==
          refusal_reason::route_unknown);
}

TEST(gateway, an_older_configuration_is_never_applied)
{
    auto older = std::make_shared<catalogue>();
    older->version = 2;
    feed(catalogue_read{older});
    ask("/orders/1");
    CHECK_EQUAL(1, started.size());
}

TEST(gateway, without_a_configuration_everything_is_refused_as_not_ready)
{
    gateway fresh(settings(), random, now);
    request_received asked;
    asked.token = caller_token(1);
    asked.outbound = std::make_shared<outbound_request>();
    const auto commands = fresh.handle(asked, now);
    const auto& answer = std::get<answer_to_caller>(commands.back());
    CHECK(std::get<refused_answer>(answer.answer).why ==
          refusal_reason::not_ready);
}

TEST(gateway, an_evacuated_data_centre_gets_nothing)
{
    feed(evacuations_read{{data_centre_id(2), data_centre_id(3)}});
    for (int i = 0; i < 20; ++i) {
        ask("/orders/1");
    }
    for (const start_exchange& start : started) {
        CHECK_EQUAL(1000U, start.server.value());
    }
    feed(evacuations_read{
        {data_centre_id(1), data_centre_id(2), data_centre_id(3)}});
    started.clear();
    ask("/orders/1");
    CHECK_EQUAL(0, started.size());
    CHECK(std::get<refused_answer>(answers.back().answer).why ==
          refusal_reason::no_server);
}

TEST(gateway, a_server_unlisted_during_a_store_outage_is_kept_for_a_while)
{
    feed(store_reachability_changed{false});
    pass(1s);
    feed(store_reachability_changed{true});
    for (std::uint64_t id = 1000; id <= 1002; ++id) {
        feed(server_unlisted{backend_server_id(id)});
    }
    ask("/orders/1");
    CHECK_EQUAL(1, started.size());
    pass(2300ms);
    started.clear();
    ask("/orders/1");
    CHECK_EQUAL(0, started.size());
}

// A live server writes its entry again, perhaps as it was; one that left before
// the restore may be listed by the copy under the number it had.
TEST(gateway, a_restored_store_neither_loses_live_servers_nor_revives_departed)
{
    feed(server_unlisted{backend_server_id(1001)});
    feed(server_unlisted{backend_server_id(1002)});
    pass(1s);
    feed(store_restored{});
    feed(servers_reported{{entry_of(100, 1)}});
    feed(server_unlisted{backend_server_id(1000)});
    ask("/orders/1");
    CHECK_EQUAL(1, started.size());
    CHECK_EQUAL(1000U, started.back().server.value());
    reply(started.back().exchange, 200);
    feed(servers_reported{{entry_of(100, 0)}});
    pass(3s);
    ask("/orders/2");
    CHECK_EQUAL(2, started.size());
    CHECK_EQUAL(1000U, started.back().server.value());
}

TEST(gateway, a_server_that_a_restored_store_lacks_is_gone_after_a_while)
{
    feed(store_restored{});
    for (std::uint64_t id = 1000; id <= 1002; ++id) {
        feed(server_unlisted{backend_server_id(id)});
    }
    pass(2300ms);
    ask("/orders/1");
    CHECK_EQUAL(0, started.size());
}

// Servers that live are listed again within two seconds of the store's return.
// One that is removed later is gone: counted from its removal, the time would
// pass the bound of 3 s for a server that leaves.
TEST(gateway, a_server_that_leaves_after_the_stores_return_is_not_kept_longer)
{
    feed(store_reachability_changed{false});
    pass(5s);
    feed(store_reachability_changed{true});
    pass(1900ms);
    for (std::uint64_t id = 1000; id < 1003; ++id) {
        feed(server_unlisted{backend_server_id(id)});
    }
    ask("/orders/1");
    CHECK_EQUAL(1, started.size());
    pass(301ms);
    ask("/orders/2");
    CHECK_EQUAL(1, started.size());
}

TEST(gateway, requests_wait_for_capacity_and_leave_in_order_of_priority)
{
    // Each of the three servers has capacity for 95 requests.
    for (int i = 0; i < 3 * 95; ++i) {
        ask("/orders/" + std::to_string(i));
    }
    CHECK_EQUAL(3 * 95, started.size());
    const caller_token last = ask("/orders/last");
    CHECK_EQUAL(3 * 95, started.size());
    CHECK_EQUAL(0, answers.size());
    reply(started[0].exchange, 200);
    CHECK_EQUAL(3 * 95 + 1, started.size());
    reply(started.back().exchange, 200);
    CHECK(answers.back().token == last);
}

TEST(gateway, suspicion_of_a_paused_server_is_sent_to_other_vms)
{
    gateway_datagram peer_heartbeat;
    peer_heartbeat.fleet_size = 2;
    feed(datagram_received{"10.0.0.2:7000", peer_heartbeat});
    ask("/search/1");
    datagrams.clear();
    pass(40ms);
    std::set<backend_server_id> told;
    for (const send_datagram& sent : datagrams) {
        for (const server_suspicion& s : sent.datagram.suspicions) {
            STRCMP_EQUAL("10.0.0.2:7000", sent.to.c_str());
            told.insert(s.server);
        }
    }
    CHECK_EQUAL(10U, told.size());
}

TEST(gateway, a_server_that_a_peer_suspects_gets_no_first_sends)
{
    gateway_datagram news;
    news.suspicions = {{backend_server_id(1000), 300ms},
                       {backend_server_id(1001), 300ms}};
    feed(datagram_received{"10.0.0.2:7000", news});
    for (int i = 0; i < 20; ++i) {
        ask("/orders/1");
        CHECK_EQUAL(1002U, started.back().server.value());
    }
}

// A refused or failed request makes the server suspect, so it gets no first
// sends. A request lost to the close of an idle connection does not.
TEST(gateway, a_server_that_refuses_or_fails_gets_no_first_sends_for_a_while)
{
    const struct
    {
        const char* name;
        std::variant<backend_answer, exchange_failure> result;
        bool is_suspected;
    } table[] = {
        {"refuses", backend_answer{503, true, false, false, "", {}, {}, {}, {}},
         true},
        {"fails", backend_answer{500, false, false, false, "", {}, {}, {}, {}},
         true},
        {"loses the connection",
         exchange_failure{exchange_fault::connection_lost}, true},
        {"cannot be reached", exchange_failure{exchange_fault::not_connected},
         true},
        {"was over its limit of connections",
         exchange_failure{exchange_fault::over_connection_limit}, true},
        {"had closed an idle connection",
         exchange_failure{exchange_fault::kept_connection_lost}, false},
    };
    for (const auto& row : table) {
        pass(6s);
        started.clear();
        ask("/orders/1");
        const start_exchange bad = started.front();
        feed(exchange_ended{bad.exchange, row.result});
        started.clear();
        for (int i = 0; i < 40; ++i) {
            ask("/orders/1");
        }
        const bool sent =
            std::any_of(started.begin(), started.end(),
                        [&](const auto& s) { return s.server == bad.server; });
        CHECK_TEXT(sent != row.is_suspected, row.name);
        for (const start_exchange& start : std::exchange(started, {})) {
            reply(start.exchange, 200);
        }
    }
}

// A connection may be reset after the request was read, so a request that must
// not run twice is not sent again.
TEST(gateway, a_reset_by_a_server_over_its_limit_proves_nothing)
{
    ask("/orders/1");
    feed(exchange_ended{
        started[0].exchange,
        exchange_failure{exchange_fault::over_connection_limit}});
    CHECK_EQUAL(1, started.size());
    CHECK_EQUAL(1, answers.size());
    CHECK(std::holds_alternative<failed_answer>(answers[0].answer));
}

// Each further connection would be reset too, and its request lost.
TEST(gateway, a_server_over_its_limit_is_used_on_its_idle_connection_only)
{
    std::map<backend_server_id, std::vector<exchange_id>> open;
    backend_server_id full;
    while (!full.is_set()) {
        ask("/reads/1");
        auto& sends = open[started.back().server];
        sends.push_back(started.back().exchange);
        if (sends.size() == 2) {
            full = started.back().server;
        }
    }
    feed(exchange_ended{
        open[full].back(),
        exchange_failure{exchange_fault::over_connection_limit}});
    // The request itself is sent again to another server.
    CHECK(started.back().server != full);
    open[started.back().server].push_back(started.back().exchange);
    open[full].pop_back();
    for (const auto& [server, sends] : open) {
        for (const exchange_id exchange : sends) {
            reply(exchange, 200);
        }
    }
    started.clear();
    // Two in flight at each of the two other servers, and one here.
    for (int i = 0; i < 5; ++i) {
        ask("/reads/1");
    }
    CHECK_EQUAL(5, started.size());
    CHECK_EQUAL(1,
                std::count_if(started.begin(), started.end(),
                              [&](const auto& s) { return s.server == full; }));
}

TEST(gateway, a_request_is_sent_though_all_servers_are_over_their_limits)
{
    std::set<backend_server_id> over;
    for (int i = 0; i < 3; ++i) {
        ask("/orders/1");
        over.insert(started.back().server);
        feed(exchange_ended{
            started.back().exchange,
            exchange_failure{exchange_fault::over_connection_limit}});
    }
    CHECK_EQUAL(3, over.size());
    ask("/orders/1");
    CHECK_EQUAL(4, started.size());
}

// With a fifth of the servers answering after 100 ms, the high quantile of the
// latencies equals their latency. A hedge at that age would be too late.
TEST(gateway, hedges_leave_time_while_many_servers_are_slow)
{
    for (int i = 0; i < 40; ++i) {
        started.clear();
        ask("/search/1");
        const auto sends = started;
        for (std::size_t s = 0; s < sends.size(); ++s) {
            if (s >= 2) {
                reply(sends[s].exchange, 200);
            }
        }
        pass(100ms);
        for (std::size_t s = 0; s < 2; ++s) {
            reply(sends[s].exchange, 200);
        }
    }
    pass(3s);
    started.clear();
    ask("/search/1");
    const std::size_t firsts = started.size();
    pass(36ms);
    CHECK(started.size() > firsts);
}

TEST(gateway, equal_events_and_seeds_give_equal_commands)
{
    seeded_random one(9);
    seeded_random two(9);
    gateway first(settings(), one, now);
    gateway second(settings(), two, now);
    for (int i = 0; i < 50; ++i) {
        now += 100ms;
        CHECK_EQUAL(first.tick(now).size(), second.tick(now).size());
        CHECK(first.next_wakeup() == second.next_wakeup());
    }
}
