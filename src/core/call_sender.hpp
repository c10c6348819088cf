#ifndef CRANBERRYWOOD_CORE_CALL_SENDER_HPP
#define CRANBERRYWOOD_CORE_CALL_SENDER_HPP

#include "core/gateway_settings.hpp"
#include "core/request_log.hpp"
#include "systems/members/relay_peers.hpp"
#include "systems/queries/extra_send_limits.hpp"
#include "systems/queries/latency_estimate.hpp"
#include "systems/queries/stragglers.hpp"
#include "systems/queries/waiting_calls.hpp"
#include "systems/servers/connection_shares.hpp"
#include "systems/servers/server_choice.hpp"
#include "systems/servers/server_directory.hpp"
#include "systems/servers/server_evidence.hpp"
#include "systems/servers/server_limits.hpp"
#include "tables/due_queue.hpp"

namespace cranberrywood {

enum class send_purpose : std::uint8_t
{
    /** First send of a call. */
    first,
    /** Sent again after an earlier send failed. */
    retry,
    /** Sent to a second server while a slow send is in flight. */
    hedge,
};

enum class send_outcome : std::uint8_t
{
    sent,
    /** Every usable server is at capacity; the call may wait. */
    all_at_capacity,
    /** The service has no usable server that was not tried yet. */
    no_usable_server,
    /** The budget of extra sends is exhausted. */
    no_budget,
};

/** Row of the exchange table. */
struct exchange_row
{
    call_ref call;
    std::shared_ptr<const outbound_request> outbound;
    fingerprint print;
    backend_server_id server;
    service_id service;
    route_id route;
    time_point sent_at;
    /** The answer is no longer needed. */
    bool abandoned = false;
    /** Peer that relays it; empty if this VM sent it. */
    std::string relayed_by;
    /** Set if this VM relays it for a peer. */
    relay_token relayed_for;
    /** Latency that is usual for its route; 0 for sends for peers. */
    duration usual{0};
    /** What becomes of the connection. */
    connection_keep keep{};

    judged_send judged() const
    {
        return {server, sent_at, usual};
    }
};

/**
 * Sends calls to backend servers within the limits of connections and extra
 * sends, and keeps the table of exchanges.
 */
class call_sender
{
public:
    call_sender(const gateway_settings& settings, server_table& servers,
                server_choice& choice, server_limits& limits, cold_limits& cold,
                server_conditions& conditions, server_evidence& evidence,
                relay_peers& peers);

    void catalogue_changed(std::shared_ptr<const catalogue> limits);
    void fleet_changed(std::uint32_t vms);

    /** Tries to send a call. */
    send_outcome send(open_request& request, std::uint32_t call,
                      send_purpose purpose, time_point now,
                      gateway_commands& out);

    /** Asks a peer to relay a send of a call. */
    send_outcome relay(open_request& request, std::uint32_t call,
                       send_purpose purpose, time_point now,
                       gateway_commands& out);
    /**
     * Sends for a peer, if a server has room; returns whether it did. The
     * request and its extra sends count at the peer only.
     */
    bool send_for_peer(const relay_requested& asked, time_point now,
                       gateway_commands& out);
    /** Cancels the send for a peer that no longer needs the answer. */
    void withdraw(relay_token token, time_point now, gateway_commands& out);
    std::size_t relayed_count() const
    {
        return m_relayed.size();
    }

    /** Credits the extra-send budget for a call, whether sent or not. */
    void count_request(service_id service);

    /** Removes an ended exchange and returns its row; none if unknown. */
    std::optional<exchange_row> end(const exchange_ended& ended, time_point now,
                                    gateway_commands& out);

    /** Forgets connection shares of servers that are no longer used. */
    void drop_expired(time_point now);

    /** Marks an exchange as no longer needed; it may still finish. */
    void abandon(exchange_id exchange, time_point now);
    /** Cancels an exchange immediately. */
    void cancel(exchange_id exchange, time_point now, gateway_commands& out);
    /** Cancels abandoned exchanges that exceeded their time-out. */
    void cancel_overdue(time_point now, gateway_commands& out);
    /** Returns when cancel_overdue has to be called next. */
    std::optional<time_point> next_overdue() const
    {
        return m_overdue.next_due();
    }

    /** Records that a send of a request is late. */
    void send_late(const late_send& late, const route& terms, time_point now,
                   gateway_commands& out);
    /** Returns the ages at which a send on this route is hedged or suspect. */
    straggler_ages ages_for(const route& terms) const;

    /** Returns names of services and servers for log lines. */
    log_names names() const;

    std::size_t exchanges() const
    {
        return m_exchanges.size();
    }

private:
    std::uint32_t max_in_flight(service_id service) const;
    connection_limits connection_limits_of(service_id service) const;
    /** Chooses a server; one that was over its limit only if needed. */
    choice_result choose(const choice_criteria& criteria, time_point now) const;
    /** Records a send; returns what becomes of its connection. */
    connection_keep record_sent(const server_row& row, service_id service,
                                exchange_id exchange, time_point now);
    void observe(const exchange_row& row, const exchange_ended& ended,
                 time_point now, gateway_commands& out);
    /** Applies what the server says of the requests that it takes. */
    void observe_server_state(const exchange_row& row,
                              const backend_answer& answer, time_point now,
                              gateway_commands& out);
    void observe_failure(const exchange_row& row, const exchange_ended& ended,
                         time_point now, gateway_commands& out);

    choice_criteria criteria_for(service_id service, bool extra) const;
    void observe_relayed(const exchange_row& row, const exchange_ended& ended,
                         time_point now, gateway_commands& out);

    /** Returns the latency that is usual for a send of a route. */
    duration usual_latency(const route& terms) const;
    std::string name_of_server(backend_server_id server) const;

    gateway_settings m_settings;
    server_table& m_servers;
    server_choice& m_choice;
    server_limits& m_server_limits;
    cold_limits& m_cold_limits;
    server_conditions& m_conditions;
    server_evidence& m_evidence;
    relay_peers& m_relay_peers;
    server_observer m_observer;
    route_latency_estimate m_latencies;
    std::shared_ptr<const catalogue> m_limits;
    std::uint32_t m_vms;
    std::unordered_map<exchange_id, exchange_row> m_exchanges;
    due_queue<exchange_id> m_overdue;
    /** Exchanges that are sent for peers. */
    std::unordered_map<relay_token, exchange_id> m_relayed;
    extra_send_limits m_extra_sends;
    connection_shares m_shares;
    std::uint64_t m_last_exchange = 0;
};

} // namespace cranberrywood

#endif
