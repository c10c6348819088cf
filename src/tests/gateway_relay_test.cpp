#include "fakes/gateway_driver.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

constexpr const char* peer = "10.0.0.2:7000";

relay_request relay_of(service_id service)
{
    relay_request request;
    request.service = service;
    request.outbound = std::make_shared<const outbound_request>(
        outbound_request{"r", "GET", "/orders/1", "", ""});
    request.deadline = 500ms;
    return request;
}

} // namespace

TEST_GROUP_BASE(gateway_relay, tests::gateway_driver){
    /** A peer says that it relays. */
    void hear_peer(){gateway_datagram datagram;
datagram.fleet_size = 2;
datagram.settled = true;
datagram.accepts_relays = true;
feed(datagram_received{peer, datagram});
}
/** Loses the links to all servers: sends fail, and so do the probes. */
void lose_links()
{
    hear_peer();
    for (int i = 0; i < 4; ++i) {
        ask("/search/lost");
        while (!started.empty()) {
            for (const start_exchange& start : std::exchange(started, {})) {
                lose(start.exchange, false);
            }
        }
    }
    pass(1ms);
    CHECK(!probes.empty());
    for (const probe_server& probe : std::exchange(probes, {})) {
        feed(server_probed{probe.server, probe_result::unreachable});
    }
    hear_peer();
    relays.clear();
    answers.clear();
}
/** Asks for a relay; returns whether it was sent to a server. */
bool is_relayed(const relay_request& request)
{
    started.clear();
    feed(relay_requested{relay_token(++tokens), request});
    return !started.empty();
}
/** Returns why the last relay was not sent. */
exchange_fault last_fault() const
{
    return std::get<exchange_failure>(relay_answers.back().ended.result).fault;
}
/** The peer's server closed the connection after it got the request. */
void lose_at_server(exchange_id exchange)
{
    feed(exchange_ended{exchange,
                        exchange_failure{exchange_fault::connection_lost},
                        entry_of(100, 0).id});
}
void report_leaving(std::uint64_t service, std::uint64_t count)
{
    servers_reported report;
    for (std::uint64_t i = 0; i < count; ++i) {
        report.entries.push_back(entry_of(service, i));
        report.entries.back().draining = true;
    }
    feed(report);
}
}
;

TEST(gateway_relay, a_relay_whose_deadline_has_passed_is_declined)
{
    relay_request request = relay_of(service_of(100));
    request.deadline = 0ms;
    feed(relay_requested{relay_token(1), request});
    CHECK(started.empty());
    CHECK_EQUAL(1U, relay_answers.size());
    CHECK(last_fault() == exchange_fault::declined);
    request.deadline = 500ms;
    feed(relay_requested{relay_token(2), request});
    CHECK_EQUAL(1U, started.size());
    CHECK(started[0].deadline == duration(500ms));
    reply(started[0].exchange, 200);
    CHECK_EQUAL(2U, relay_answers.size());
    CHECK(relay_answers[1].ended.server == started[0].server);
}

TEST(gateway_relay, a_peer_that_withdraws_a_relay_ends_it)
{
    const relay_request request = relay_of(service_of(100));
    feed(relay_requested{relay_token(1), request});
    feed(relay_withdrawn{relay_token(1)});
    CHECK_EQUAL(1U, cancelled.size());
    CHECK(cancelled[0] == started[0].exchange);
    CHECK(relay_answers.empty());
    feed(vm_leaving{});
    feed(relay_requested{relay_token(2), request});
    CHECK_EQUAL(1U, started.size());
    CHECK_EQUAL(1U, relay_answers.size());
}

TEST(gateway_relay, no_relay_goes_to_a_server_of_an_evacuated_data_centre)
{
    const relay_request request = relay_of(service_of(100));
    feed(evacuations_read{{data_centre_id(1), data_centre_id(2)}});
    for (int i = 0; i < 30; ++i) {
        CHECK(is_relayed(request));
        CHECK(started[0].server == entry_of(100, 2).id);
        reply(started[0].exchange, 200);
    }
    feed(evacuations_read{
        {data_centre_id(1), data_centre_id(2), data_centre_id(3)}});
    CHECK(!is_relayed(request));
    CHECK(last_fault() == exchange_fault::declined);
}

TEST(gateway_relay, no_relay_goes_to_a_server_that_leaves)
{
    const relay_request request = relay_of(service_of(100));
    report_leaving(100, 2);
    for (int i = 0; i < 30; ++i) {
        CHECK(is_relayed(request));
        CHECK(started[0].server == entry_of(100, 2).id);
        reply(started[0].exchange, 200);
    }
    report_leaving(100, 3);
    CHECK(!is_relayed(request));
    CHECK(last_fault() == exchange_fault::declined);
}

TEST(gateway_relay, a_relay_goes_to_no_server_that_the_call_was_sent_to)
{
    relay_request request = relay_of(service_of(100));
    request.tried = {entry_of(100, 0).id, entry_of(100, 1).id};
    for (int i = 0; i < 30; ++i) {
        CHECK(is_relayed(request));
        CHECK(started[0].server == entry_of(100, 2).id);
        reply(started[0].exchange, 200);
    }
}

TEST(gateway_relay, a_vm_without_links_declines_and_passes_nothing_on)
{
    lose_links();
    CHECK(!is_relayed(relay_of(service_of(100))));
    CHECK(last_fault() == exchange_fault::declined);
    CHECK(relays.empty());
}

TEST(gateway_relay, sends_go_to_a_peer_once_the_links_are_lost)
{
    lose_links();
    ask("/orders/1");
    CHECK(started.empty());
    CHECK_EQUAL(1U, relays.size());
    STRCMP_EQUAL(peer, relays[0].peer.c_str());
    CHECK(relays[0].request.service == service_of(100));
}

// A relay that was lost after it was passed on may have run; what is not
// repeatable is not sent again.
TEST(gateway_relay, a_lost_relay_is_not_repeated_unless_the_request_may_be)
{
    lose_links();
    ask("/orders/1");
    lose(std::exchange(relays, {})[0].exchange, true);
    CHECK(relays.empty());
    CHECK(started.empty());
    CHECK_EQUAL(1U, answers.size());
}

// BUDGET: extra sends through peers reach servers as others do, so they take
// from the same budget.
TEST(gateway_relay, extra_sends_through_peers_stay_within_the_budget)
{
    lose_links();
    constexpr int requests = 400;
    int repeated = 0;
    for (int i = 0; i < requests; ++i) {
        ask("/reads/1");
        CHECK_EQUAL(1U, relays.size());
        lose_at_server(std::exchange(relays, {})[0].exchange);
        repeated += static_cast<int>(std::exchange(relays, {}).size());
        pass(5ms);
        hear_peer();
    }
    const gateway_settings limits = settings();
    const double allowed =
        limits.extra_send_allowance +
        requests * static_cast<double>(limits.extra_send_percent) / 100.0;
    CHECK(repeated > 0);
    CHECK(repeated <= allowed);
}
