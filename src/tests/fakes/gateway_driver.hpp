#ifndef CRANBERRYWOOD_TESTS_FAKES_GATEWAY_DRIVER_HPP
#define CRANBERRYWOOD_TESTS_FAKES_GATEWAY_DRIVER_HPP

#include "core/gateway.hpp"

#include <CppUTest/TestHarness.h>

namespace cranberrywood::tests {

using namespace std::chrono_literals;

/** Drives one gateway: feeds it events and keeps its commands. */
class gateway_driver : public Utest
{
public:
    static constexpr std::uint32_t shards = 10;
    seeded_random random{17};
    time_point now{1h};
    gateway core{settings(), random, now};
    std::vector<start_exchange> started;
    std::vector<exchange_id> cancelled;
    std::vector<answer_to_caller> answers;
    std::vector<send_datagram> datagrams;
    std::vector<probe_server> probes;
    std::vector<start_relay> relays;
    std::vector<answer_relay> relay_answers;
    std::uint64_t tokens = 0;

    static service_id service_of(std::uint64_t number)
    {
        return id_of<service_id>(std::to_string(number));
    }
    static gateway_settings settings()
    {
        gateway_settings s;
        s.member = {"10.0.0.1:7000", {"10.0.0.1:7000"}};
        s.member.origin.data_centre = data_centre_id(1);
        return s;
    }
    void setup() override
    {
        auto read = std::make_shared<catalogue>();
        read->version = 3;
        route orders;
        orders.name = "orders";
        orders.host = "a";
        orders.prefix = "/orders/";
        orders.target = forward_target{{{service_of(100), 1}}};
        orders.max_sends = 2;
        orders.timeout = 2s;
        orders.target_latency = 400ms;
        orders.open = true;
        read->add_route(orders);
        orders.name = "reads";
        orders.prefix = "/reads/";
        orders.repeatable = true;
        read->add_route(orders);
        route search = orders;
        search.name = "search";
        search.prefix = "/search/";
        search.target_latency = 100ms;
        search.timeout = 600ms;
        gather_target from;
        for (std::uint32_t shard = 0; shard < shards; ++shard) {
            from.shards.push_back(service_of(shard + 1));
        }
        from.top_records = 3;
        from.least_share = 0.89;
        search.target = from;
        read->add_route(search);
        route keyed = orders;
        keyed.name = "keyed";
        keyed.prefix = "/keyed/";
        keyed.open = false;
        read->add_route(keyed);
        workspace_entry desk;
        desk.id = workspace_id(5);
        desk.name = "desk";
        read->add_workspace(desk, {"key"});
        for (std::uint64_t id = 1; id <= shards; ++id) {
            add_service(*read, id);
        }
        add_service(*read, 100);
        feed(catalogue_read{read});
        feed(store_reachability_changed{true});
        now += 10s;
        take(core.tick(now));
        for (std::uint64_t id = 1; id <= shards; ++id) {
            add_servers(id, 3);
        }
        add_servers(100, 3);
    }
    static void add_service(catalogue& to, std::uint64_t id)
    {
        service_entry entry;
        entry.name = std::to_string(id);
        entry.connections = 100;
        to.add_service(entry);
    }
    void add_servers(std::uint64_t service, std::uint64_t count)
    {
        servers_reported report;
        for (std::uint64_t i = 0; i < count; ++i) {
            report.entries.push_back(entry_of(service, i));
        }
        feed(report);
    }
    static backend_server_entry entry_of(std::uint64_t service,
                                         std::uint64_t place)
    {
        backend_server_entry e;
        e.id = backend_server_id(service * 10 + place);
        e.service = service_of(service);
        e.name = std::to_string(e.id.value());
        e.data_centre = data_centre_id(place + 1);
        return e;
    }
    void feed(const gateway_event& event)
    {
        take(core.handle(event, now));
    }
    void take(const gateway_commands& commands)
    {
        for (const gateway_command& command : commands) {
            if (const auto* start = std::get_if<start_exchange>(&command)) {
                started.push_back(*start);
            } else if (const auto* cancel =
                           std::get_if<cancel_exchange>(&command)) {
                cancelled.push_back(cancel->exchange);
            } else if (const auto* answer =
                           std::get_if<answer_to_caller>(&command)) {
                answers.push_back(*answer);
            } else if (const auto* sent =
                           std::get_if<send_datagram>(&command)) {
                datagrams.push_back(*sent);
            } else if (const auto* relay =
                           std::get_if<answer_relay>(&command)) {
                relay_answers.push_back(*relay);
            } else if (const auto* probe =
                           std::get_if<probe_server>(&command)) {
                probes.push_back(*probe);
            } else if (const auto* asked = std::get_if<start_relay>(&command)) {
                relays.push_back(*asked);
            }
        }
    }
    /** Advances time in steps of one millisecond. */
    void pass(duration length)
    {
        for (duration passed{0}; passed < length; passed += 1ms) {
            now += 1ms;
            take(core.tick(now));
        }
    }
    caller_token ask(const std::string& path, const std::string& key = "",
                     duration deadline = 5s, duration network_time = 0ms)
    {
        auto outbound = std::make_shared<outbound_request>();
        outbound->id = "id-" + std::to_string(++tokens);
        outbound->method = "GET";
        outbound->target = path;
        feed(request_received{caller_token(tokens), "a", path, key, deadline,
                              now, outbound, network_time});
        return caller_token(tokens);
    }
    void reply(exchange_id exchange, unsigned status, bool not_run = false,
               bool receipt = true, const std::string& body = "")
    {
        backend_answer answer;
        answer.status = status;
        answer.not_run = not_run;
        answer.receipt =
            receipt ? "receipt-" + std::to_string(exchange.value()) : "";
        answer.message = std::make_shared<const relayed_message>(
            relayed_message{status, "", body});
        feed(exchange_ended{exchange, answer});
    }
    void lose(exchange_id exchange, bool written)
    {
        feed(exchange_ended{
            exchange,
            exchange_failure{written ? exchange_fault::connection_lost
                                     : exchange_fault::not_connected}});
    }
    /** Completes requests to build up a budget of extra sends. */
    void earn_budget(const std::string& path, int requests)
    {
        for (int i = 0; i < requests; ++i) {
            ask(path);
            for (const start_exchange& start : std::exchange(started, {})) {
                reply(start.exchange, 200);
            }
            pass(1ms);
        }
        answers.clear();
    }
};

} // namespace cranberrywood::tests

#endif
