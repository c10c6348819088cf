#include "fakes/gateway_driver.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

constexpr double cold_rate = 5.0;
constexpr std::uint64_t servers = 3;
const service_id desk = id_of<service_id>("desk");

} // namespace

TEST_GROUP_BASE(gateway_cold, tests::gateway_driver)
{
    /** Adds a service that limits its cold servers. */
    void limit_cold_servers()
    {
        auto read = std::make_shared<catalogue>();
        read->version = 4;
        service_entry entry;
        entry.name = "desk";
        entry.connections = 100;
        entry.cold_rate = cold_rate;
        entry.cold_period = 3s;
        read->add_service(entry);
        route orders;
        orders.name = "orders";
        orders.host = "a";
        orders.prefix = "/orders/";
        orders.target = forward_target{{{desk, 1}}};
        orders.max_sends = 2;
        orders.timeout = 2s;
        orders.target_latency = 400ms;
        orders.open = true;
        read->add_route(orders);
        feed(catalogue_read{read});
    }
    void list_servers(duration cold_remaining)
    {
        servers_reported report;
        for (std::uint64_t place = 0; place < servers; ++place) {
            backend_server_entry entry = entry_of(500, place);
            entry.service = desk;
            entry.cold_remaining = cold_remaining;
            entry.sequence = ++sequence;
            report.entries.push_back(entry);
        }
        feed(report);
    }
    std::uint64_t sequence = 0;
};

TEST(gateway_cold, callers_of_a_cold_service_are_refused_until_it_takes_them)
{
    limit_cold_servers();
    list_servers(3s);
    std::map<backend_server_id, int> arrived;
    for (int i = 0; i < 200; ++i) {
        ask("/orders/1", "", 100ms);
        for (const start_exchange& start : std::exchange(started, {})) {
            ++arrived[start.server];
            reply(start.exchange, 200);
        }
        pass(5ms);
    }
    CHECK_EQUAL(servers, arrived.size());
    for (const auto& [id, count] : arrived) {
        CHECK(count <= static_cast<int>(1.5 * cold_rate + 5.0));
        CHECK(count >= static_cast<int>(cold_rate));
    }
    std::size_t refused = 0;
    for (const answer_to_caller& answer : answers) {
        const auto* refusal = std::get_if<refused_answer>(&answer.answer);
        if (refusal == nullptr) {
            continue;
        }
        ++refused;
        CHECK(refusal->why == refusal_reason::overloaded ||
              refusal->why == refusal_reason::no_server);
        CHECK(refusal->retry_after.value() > duration(0));
        CHECK(refusal->retry_after.value() <= 250ms);
    }
    CHECK(refused > 100);
}

TEST(gateway_cold, a_warm_service_is_not_limited)
{
    limit_cold_servers();
    list_servers(0s);
    for (int i = 0; i < 100; ++i) {
        ask("/orders/1");
        CHECK_EQUAL(1U, started.size());
        reply(std::exchange(started, {})[0].exchange, 200);
        pass(5ms);
    }
}
