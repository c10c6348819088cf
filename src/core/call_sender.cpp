#include "core/call_sender.hpp"

#include "core/log_codes.hpp"
#include "core/request_log.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Time for which an abandoned exchange may still finish. */
constexpr duration abandoned_timeout = 300ms;
/**
 * Latency quantile of a route after which a send is hedged. Sends slower than
 * this are mostly stuck, so the budget is reserved for them.
 */
constexpr double hedge_quantile = 0.93;
/**
 * A send is hedged after at most this fraction of the route's target latency,
 * which leaves the rest to the hedge.
 */
constexpr int hedge_divisor = 3;
constexpr duration min_hedge_age = 4ms;
/** Latency assumed for a route, as a fraction of its target latency. */
constexpr int assumed_latency_divisor = 6;
/** Twice the number of medians after which an unanswered send is late. */
constexpr int late_medians_times_two = 5;
/** Shortest age at which a server is suspected; below it, latency is normal. */
constexpr duration min_suspicion_age = 30ms;
constexpr unsigned service_unavailable = 503;

void log_lost_send(const exchange_row& row, const std::string& server,
                   exchange_fault fault, time_point now, gateway_commands& out)
{
    out.push_back(
        gateway_log{static_cast<std::uint32_t>(log_code::send_lost),
                    "request=" + row.outbound->id +
                        " fingerprint=" + std::to_string(row.print.value()) +
                        " server=" + server + " fault=" + name_of(fault) +
                        " age_ms=" + milliseconds_text(now - row.sent_at) +
                        " abandoned=" + (row.abandoned ? "yes" : "no")});
}

void log_closed_server(const exchange_row& row, const std::string& server,
                       duration wait, gateway_commands& out)
{
    out.push_back(
        gateway_log{static_cast<std::uint32_t>(log_code::server_closed),
                    "server=" + server + " request=" + row.outbound->id +
                        " wait_ms=" + milliseconds_text(wait)});
}

} // namespace

call_sender::call_sender(const gateway_settings& settings,
                         server_table& servers, server_choice& choice,
                         server_limits& limits, cold_limits& cold,
                         server_conditions& conditions,
                         server_evidence& evidence, relay_peers& peers)
    : m_settings(settings), m_servers(servers), m_choice(choice),
      m_server_limits(limits), m_cold_limits(cold), m_conditions(conditions),
      m_evidence(evidence), m_relay_peers(peers), m_observer(servers),
      m_vms(settings.member.assumed_vms),
      m_extra_sends({settings.extra_send_percent, settings.extra_send_allowance,
                     settings.member.origin.first_start},
                    settings.member.assumed_vms)
{
}

void call_sender::catalogue_changed(std::shared_ptr<const catalogue> limits)
{
    m_limits = std::move(limits);
}

void call_sender::fleet_changed(std::uint32_t vms)
{
    m_vms = std::max(1U, vms);
    m_extra_sends.fleet_changed(vms);
}

void call_sender::count_request(service_id service)
{
    m_extra_sends.count_request(service);
}

send_outcome call_sender::send(open_request& request, std::uint32_t call,
                               send_purpose purpose, time_point now,
                               gateway_commands& out)
{
    service_call& c = request.calls[call];
    choice_criteria terms =
        criteria_for(c.service, purpose == send_purpose::hedge);
    // The most urgent requests have no time to wait for an impaired server.
    terms.may_probe = purpose == send_purpose::first &&
                      request.terms->repeatable && request.priority > 0;
    for (const call_send& sent : c.sends) {
        terms.tried.push_back(sent.server);
    }
    const choice_result chosen = choose(terms, now);
    if (const auto* full = std::get_if<all_at_capacity>(&chosen)) {
        c.reopens_at = full->reopens_at;
        return send_outcome::all_at_capacity;
    }
    if (std::holds_alternative<no_usable_server>(chosen)) {
        c.reopens_at = m_choice.opens_at(c.service, now);
        return send_outcome::no_usable_server;
    }
    if (c.may_have_arrived() && !m_extra_sends.take(c.service)) {
        return send_outcome::no_budget;
    }
    const auto server = std::get<backend_server_id>(chosen);
    const server_row& row = *m_servers.find(server);
    const exchange_id exchange(++m_last_exchange);
    const connection_keep keep = record_sent(row, c.service, exchange, now);
    m_exchanges[exchange] = {{request.token, call},
                             request.outbound,
                             request.print,
                             server,
                             c.service,
                             id_of<route_id>(request.terms->name),
                             now,
                             false,
                             {},
                             {},
                             usual_latency(*request.terms),
                             keep};
    c.sends.push_back({exchange, server, now, true, false});
    c.state = call_state::sent;
    out.push_back(
        start_exchange{exchange, server, row.entry.address, row.entry.name,
                       request.workspace_name, request.deadline - now,
                       request.terms->repeatable, request.outbound, keep});
    return send_outcome::sent;
}

connection_keep call_sender::record_sent(const server_row& row,
                                         service_id service,
                                         exchange_id exchange, time_point now)
{
    const backend_server_id server = row.entry.id;
    m_observer.sent(server, exchange, now);
    m_server_limits.record_sent(server, now);
    m_conditions.record_sent(server, now);
    m_cold_limits.record_sent(row, now);
    m_shares.sent(service, server, now);
    return m_shares.keep(service, server, connection_limits_of(service), now);
}

// A server that was over its limit of connections gets a request only on an
// idle connection, if another server of the service can have the request.
choice_result call_sender::choose(const choice_criteria& criteria,
                                  time_point now) const
{
    choice_criteria preferred = criteria;
    for (const backend_server_id id : m_servers.of_service(criteria.service)) {
        const server_row& row = *m_servers.find(id);
        const bool connects = row.in_flight() > 0 || now >= row.connected_until;
        if (connects && !m_shares.may_open(id, now)) {
            preferred.tried.push_back(id);
        }
    }
    if (preferred.tried.size() > criteria.tried.size()) {
        const choice_result chosen = m_choice.choose(preferred, now);
        if (std::holds_alternative<backend_server_id>(chosen)) {
            return chosen;
        }
        preferred = criteria;
        preferred.max_in_flight = 1;
    }
    return m_choice.choose(preferred, now);
}

choice_criteria call_sender::criteria_for(service_id service, bool extra) const
{
    choice_criteria terms;
    terms.service = service;
    terms.own_data_centre = m_settings.member.origin.data_centre;
    terms.max_in_flight = max_in_flight(service);
    terms.extra = extra;
    terms.keep_to_two = terms.max_in_flight == 1;
    return terms;
}

// Attempts and extra sends count here; the peer applies what it knows of the
// servers, as it is the VM that they see.
send_outcome call_sender::relay(open_request& request, std::uint32_t call,
                                send_purpose purpose, time_point now,
                                gateway_commands& out)
{
    service_call& c = request.calls[call];
    const auto peer = m_relay_peers.choose(now);
    if (!peer) {
        return send_outcome::no_usable_server;
    }
    if (c.may_have_arrived() && !m_extra_sends.take(c.service)) {
        return send_outcome::no_budget;
    }
    relay_request asked;
    asked.service = c.service;
    for (const call_send& sent : c.sends) {
        if (sent.server.is_set()) {
            asked.tried.push_back(sent.server);
        }
    }
    asked.extra = purpose == send_purpose::hedge;
    asked.print = request.print;
    asked.deadline = request.deadline - now;
    asked.repeatable = request.terms->repeatable;
    asked.workspace = request.workspace_name;
    asked.outbound = request.outbound;
    const exchange_id exchange(++m_last_exchange);
    m_exchanges[exchange] = {{request.token, call},
                             request.outbound,
                             request.print,
                             backend_server_id(),
                             c.service,
                             id_of<route_id>(request.terms->name),
                             now,
                             false,
                             *peer,
                             {}};
    m_relay_peers.sent(*peer);
    c.sends.push_back({exchange, backend_server_id(), now, true, false});
    c.state = call_state::sent;
    out.push_back(start_relay{exchange, *peer, std::move(asked)});
    return send_outcome::sent;
}

bool call_sender::send_for_peer(const relay_requested& asked, time_point now,
                                gateway_commands& out)
{
    const relay_request& request = asked.request;
    choice_criteria terms = criteria_for(request.service, request.extra);
    terms.tried = request.tried;
    const choice_result chosen = choose(terms, now);
    if (!std::holds_alternative<backend_server_id>(chosen)) {
        return false;
    }
    const auto server = std::get<backend_server_id>(chosen);
    const server_row& row = *m_servers.find(server);
    const exchange_id exchange(++m_last_exchange);
    const connection_keep keep =
        record_sent(row, request.service, exchange, now);
    m_exchanges[exchange] = {{},
                             request.outbound,
                             request.print,
                             server,
                             request.service,
                             route_id(),
                             now,
                             false,
                             {},
                             asked.token,
                             duration(0),
                             keep};
    m_relayed[asked.token] = exchange;
    m_overdue.schedule(exchange, now + request.deadline + abandoned_timeout);
    out.push_back(start_exchange{
        exchange, server, row.entry.address, row.entry.name, request.workspace,
        request.deadline, request.repeatable, request.outbound, keep});
    return true;
}

void call_sender::withdraw(relay_token token, time_point now,
                           gateway_commands& out)
{
    const auto found = m_relayed.find(token);
    if (found != m_relayed.end()) {
        cancel(found->second, now, out);
    }
}

std::optional<exchange_row> call_sender::end(const exchange_ended& ended,
                                             time_point now,
                                             gateway_commands& out)
{
    const auto found = m_exchanges.find(ended.exchange);
    if (found == m_exchanges.end()) {
        return std::nullopt;
    }
    const exchange_row row = found->second;
    m_exchanges.erase(found);
    m_overdue.remove(ended.exchange);
    m_relayed.erase(row.relayed_for);
    if (row.relayed_by.empty()) {
        observe(row, ended, now, out);
    } else {
        observe_relayed(row, ended, now, out);
    }
    return row;
}

void call_sender::observe(const exchange_row& row, const exchange_ended& ended,
                          time_point now, gateway_commands& out)
{
    const auto* answer = std::get_if<backend_answer>(&ended.result);
    const bool failed = answer == nullptr || answer->misdirected ||
                        (answer->status >= 500 && !answer->not_run);
    if (answer != nullptr && !answer->misdirected) {
        observe_server_state(row, *answer, now, out);
    }
    if (failed) {
        observe_failure(row, ended, now, out);
        return;
    }
    m_observer.answered(row.server, ended.exchange, !answer->not_run, now);
    server_row* server = m_servers.find(row.server);
    if (server != nullptr && row.keep.idle < server->connected_until - now) {
        server->connected_until = now + row.keep.idle;
    }
    if (answer->not_run) {
        m_evidence.refused(row.judged(), now, out);
    } else if (row.route.is_set()) {
        m_evidence.answered(row.judged(), now, out);
        m_latencies.observe(row.route, now - row.sent_at, now);
    }
}

// What the server says of itself holds for this VM too: its caller gets the
// answer.
void call_sender::observe_relayed(const exchange_row& row,
                                  const exchange_ended& ended, time_point now,
                                  gateway_commands& out)
{
    m_relay_peers.ended(row.relayed_by, ended, now);
    if (const auto* failure = std::get_if<exchange_failure>(&ended.result)) {
        log_lost_send(row, "relayed_by_" + row.relayed_by, failure->fault, now,
                      out);
        return;
    }
    const auto& answer = std::get<backend_answer>(ended.result);
    exchange_row served = row;
    served.server = ended.server;
    if (ended.server.is_set() && !answer.misdirected) {
        observe_server_state(served, answer, now, out);
    }
    if (!answer.not_run && answer.status < 500) {
        m_latencies.observe(row.route, now - row.sent_at, now);
    }
}

void call_sender::observe_server_state(const exchange_row& row,
                                       const backend_answer& answer,
                                       time_point now, gateway_commands& out)
{
    m_server_limits.observe(row.server, answer.limit, row.sent_at, now, out);
    if (answer.leaving && m_observer.leaving(row.server)) {
        out.push_back(
            gateway_log{static_cast<std::uint32_t>(log_code::server_leaving),
                        "server=" + name_of_server(row.server) +
                            " request=" + row.outbound->id});
    }
    if (answer.retry_after && answer.status == service_unavailable) {
        m_observer.closed(row.server, *answer.retry_after, now);
        log_closed_server(row, name_of_server(row.server), *answer.retry_after,
                          out);
    }
    if (answer.cold_remaining) {
        m_observer.cold(row.server, *answer.cold_remaining, now);
    }
}

// A server may close an idle connection at any time, so a request that is lost
// to such a close is not counted as a failure of the server.
void call_sender::observe_failure(const exchange_row& row,
                                  const exchange_ended& ended, time_point now,
                                  gateway_commands& out)
{
    const auto* failure = std::get_if<exchange_failure>(&ended.result);
    if (failure != nullptr) {
        log_lost_send(row, name_of_server(row.server), failure->fault, now,
                      out);
    }
    if (failure != nullptr &&
        failure->fault == exchange_fault::kept_connection_lost) {
        m_observer.answered(row.server, ended.exchange, false, now);
        m_evidence.kept_connection_lost(row.judged(), now, out);
        return;
    }
    if (failure != nullptr &&
        failure->fault == exchange_fault::over_connection_limit) {
        m_observer.answered(row.server, ended.exchange, false, now);
        if (m_shares.over_limit(row.server, now)) {
            out.push_back(gateway_log{
                static_cast<std::uint32_t>(
                    log_code::server_over_connection_limit),
                "server=" + name_of_server(row.server) +
                    " request=" + row.outbound->id + " wait_ms=" +
                    milliseconds_text(m_shares.opens_after(row.server, now))});
        }
        return;
    }
    if (failure != nullptr &&
        failure->fault == exchange_fault::connection_refused) {
        m_cold_limits.refused(row.server, now, out);
    }
    m_observer.failed(row.server, ended.exchange, now);
    m_evidence.failed(row.judged(), now, out);
}

std::string call_sender::name_of_server(backend_server_id server) const
{
    const server_row* row = m_servers.find(server);
    return row == nullptr ? "gone" : row->entry.name;
}

log_names call_sender::names() const
{
    return {[this](service_id id) {
                const auto& services = m_limits->services();
                const auto found = services.find(id);
                return found == services.end() ? "gone" : found->second.name;
            },
            [this](backend_server_id id) { return name_of_server(id); }};
}

void call_sender::abandon(exchange_id exchange, time_point now)
{
    const auto found = m_exchanges.find(exchange);
    if (found != m_exchanges.end()) {
        found->second.abandoned = true;
        m_overdue.schedule(exchange, now + abandoned_timeout);
    }
}

void call_sender::cancel(exchange_id exchange, time_point now,
                         gateway_commands& out)
{
    const auto found = m_exchanges.find(exchange);
    if (found == m_exchanges.end()) {
        return;
    }
    m_observer.cancelled(found->second.server, exchange, now);
    m_evidence.cancelled(found->second.judged(), now, out);
    if (!found->second.relayed_by.empty()) {
        m_relay_peers.cancelled(found->second.relayed_by);
    }
    m_relayed.erase(found->second.relayed_for);
    m_exchanges.erase(found);
    m_overdue.remove(exchange);
    out.push_back(cancel_exchange{exchange});
}

void call_sender::cancel_overdue(time_point now, gateway_commands& out)
{
    while (const auto exchange = m_overdue.pop_due(now)) {
        const auto found = m_exchanges.find(*exchange);
        if (found != m_exchanges.end() && found->second.relayed_for.is_set()) {
            out.push_back(answer_relay{
                found->second.relayed_for,
                {*exchange, exchange_failure{exchange_fault::connection_lost},
                 found->second.server}});
        }
        cancel(*exchange, now, out);
    }
}

void call_sender::send_late(const late_send& late, const route& terms,
                            time_point now, gateway_commands& out)
{
    m_evidence.late({late.server, late.sent_at, usual_latency(terms)}, now,
                    out);
}

// A VM of a large fleet rarely has enough answers of a route with one server.
duration call_sender::usual_latency(const route& terms) const
{
    const auto median = m_latencies.quantile(id_of<route_id>(terms.name), 0.5);
    return median.value_or(terms.target_latency / assumed_latency_divisor);
}

// While many servers are slow, a high quantile reflects their latency, so the
// hedge age is also limited by the target and the median.
straggler_ages call_sender::ages_for(const route& terms) const
{
    const auto id = id_of<route_id>(terms.name);
    const duration target_share = terms.target_latency / hedge_divisor;
    const auto quantile = m_latencies.quantile(id, hedge_quantile);
    const auto median = m_latencies.quantile(id, 0.5);
    if (!quantile || !median) {
        return {std::max(min_hedge_age, target_share), target_share};
    }
    const duration unusual = *median * late_medians_times_two / 2;
    const duration latest = std::max(target_share, unusual);
    return {std::max(min_hedge_age, std::min(*quantile, latest)),
            std::max(min_suspicion_age, unusual)};
}

std::uint32_t call_sender::max_in_flight(service_id service) const
{
    return connection_shares::most_in_flight(connection_limits_of(service));
}

connection_limits call_sender::connection_limits_of(service_id service) const
{
    const service_entry* entry =
        m_limits == nullptr ? nullptr : m_limits->find_service(service);
    connection_limits limits;
    limits.vms = m_vms;
    limits.connections = entry == nullptr ? 1 : entry->connections;
    limits.servers = m_servers.of_service(service).size();
    return limits;
}

void call_sender::drop_expired(time_point now)
{
    m_shares.drop_expired(now);
}

} // namespace cranberrywood
