#include "core/gateway.hpp"

#include "core/log_codes.hpp"
#include "core/request_log.hpp"
#include "systems/queries/held_calls.hpp"
#include "systems/queries/request_answer.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Interval at which unlisted servers and waiting calls are reviewed. */
constexpr duration sweep_interval = 250ms;
/** Interval at which unanswered asks for tokens are repeated. */
constexpr duration token_review_interval = 15ms;
/** Retry delay given to a caller whose request got no token. */
constexpr duration token_retry_after = 100ms;
/** Shortest time between two reviews of a request. */
constexpr duration min_review_interval = 1ms;
/** Time after which a hedge that found no server or budget is tried again. */
constexpr duration hedge_retry_interval = 12ms;
/** Largest number of sends of one call, including sends proved not run. */
constexpr std::size_t max_attempts = 4;

void log(log_code code, std::string text, gateway_commands& out)
{
    out.push_back(
        gateway_log{static_cast<std::uint32_t>(code), std::move(text)});
}

} // namespace

gateway::gateway(const gateway_settings& settings, random_source& random,
                 time_point now)
    : m_members(settings.member, random, now), m_rates(m_members),
      m_directory(m_servers), m_server_limits(m_servers, m_members),
      m_suspicions(m_servers), m_cold_limits(m_servers, m_members),
      m_choice(m_servers, m_server_limits, m_cold_limits, random),
      m_relay_peers(m_members, random),
      m_sender(settings, m_servers, m_choice, m_server_limits, m_cold_limits,
               m_suspicions, m_relay_peers),
      m_crash_watch(m_servers, m_quarantine),
      m_admission(m_rates, m_waiting, m_quarantine, m_choice, random),
      m_peers(m_members, incarnation(random.next() | 1U), m_rates,
              m_server_limits, m_quarantine, m_relay_peers, now),
      m_relays(m_servers, random, m_sender, m_waiting, m_quarantine, m_peers)
{
}

gateway_commands gateway::handle(const gateway_event& event, time_point now)
{
    gateway_commands out;
    std::visit([&](const auto& e) { on(e, now, out); }, event);
    broadcast_news(now, out);
    return out;
}

gateway_commands gateway::tick(time_point now)
{
    gateway_commands out;
    while (const auto token = m_due.pop_due(now)) {
        review(*token, now, out);
    }
    m_sender.cancel_overdue(now, out);
    m_crash_watch.tick(now, out);
    if (m_relays.tick(now, out)) {
        serve_all_waiting(now, out);
    }
    while (const auto service = m_reopenings.pop_due(now)) {
        serve_waiting(*service, now, out);
    }
    m_peers.tick(now, out);
    if (now >= m_next_token_review) {
        review_token_waiters(now, out);
    }
    update_fleet_size(now, out);
    if (now >= m_next_sweep) {
        m_next_sweep = now + sweep_interval;
        m_directory.drop_unlisted(now);
        m_quarantine.drop_expired(now);
        m_server_limits.drop_expired(now);
        m_cold_limits.drop_expired(now);
        m_relay_peers.drop_silent(now);
        serve_all_waiting(now, out);
    }
    broadcast_news(now, out);
    return out;
}

std::uint64_t gateway::settings_version() const
{
    return m_settings == nullptr ? 0 : m_settings->version;
}

std::optional<std::string> gateway::next_configuration_source(time_point now)
{
    return m_peer_configuration.next_source(settings_version(), now);
}

std::optional<time_point> gateway::next_wakeup() const
{
    std::optional<time_point> next = m_due.next_due();
    for (const auto& other :
         {m_sender.next_overdue(), m_crash_watch.next_wakeup(),
          m_relays.next_wakeup(), m_reopenings.next_due()}) {
        if (other && (!next || *other < *next)) {
            next = other;
        }
    }
    const time_point regular =
        std::min({m_next_sweep, m_peers.next_wakeup(), m_next_token_review});
    return next ? std::min(*next, regular) : regular;
}

void gateway::on(const request_received& asked, time_point now,
                 gateway_commands& out)
{
    admission_result admitted = m_admission.admit(asked, now);
    if (const auto* needed = std::get_if<token_needed>(&admitted)) {
        wait_for_token(asked, needed->workspace, now, out);
    } else {
        apply_admission(asked, std::move(admitted), now, out);
    }
}

void gateway::apply_admission(const request_received& asked,
                              admission_result admitted, time_point now,
                              gateway_commands& out)
{
    if (auto* refused = std::get_if<refused_answer>(&admitted)) {
        refuse(asked, *refused, out);
    } else {
        start_request(
            std::move(std::get<std::unique_ptr<open_request>>(admitted)), now,
            out);
    }
}

void gateway::refuse(const request_received& asked,
                     const refused_answer& answer, gateway_commands& out)
{
    const workspace_entry* workspace =
        m_settings == nullptr ? nullptr : m_settings->find_workspace(asked.key);
    log(log_code::request_refused,
        "request=" + asked.outbound->id + " host=" + asked.host +
            " path=" + asked.path + " why=" + name_of(answer.why) +
            " workspace=" + (workspace == nullptr ? "none" : workspace->name) +
            " rate=" +
            (workspace == nullptr ? "0" : std::to_string(workspace->rate)) +
            " retry_after_ms=" +
            milliseconds_text(answer.retry_after.value_or(duration(0))) +
            " revision=" + std::to_string(settings_version()) +
            " fingerprint=" +
            std::to_string(fingerprint_of(workspace == nullptr ? workspace_id()
                                                               : workspace->id,
                                          asked)
                               .value()),
        out);
    out.push_back(answer_to_caller{asked.token, answer});
}

void gateway::wait_for_token(const request_received& asked,
                             workspace_id workspace, time_point now,
                             gateway_commands& out)
{
    if (!m_token_waiters.add(workspace, asked, now)) {
        refuse(asked, {refusal_reason::over_rate, token_retry_after}, out);
        return;
    }
    m_next_token_review =
        std::min(m_next_token_review, now + token_review_interval);
    ask_for_tokens(workspace, now, out);
}

// Once every holder was asked without success, the waiting requests are
// refused.
void gateway::ask_for_tokens(workspace_id workspace, time_point now,
                             gateway_commands& out)
{
    const auto asks =
        m_rates.make_asks(workspace, m_token_waiters.count(workspace), now);
    m_peers.send_asks(asks, now, out);
    if (asks.empty()) {
        serve_token_waiters(workspace, now, out);
    }
}

void gateway::serve_token_waiters(workspace_id workspace, time_point now,
                                  gateway_commands& out)
{
    while (true) {
        const time_point since = m_token_waiters.since(workspace);
        const auto asked = m_token_waiters.take(workspace);
        if (!asked) {
            return;
        }
        admission_result admitted = m_admission.admit(*asked, now);
        if (std::holds_alternative<token_needed>(admitted)) {
            m_token_waiters.put_back(workspace, *asked, since);
            return;
        }
        apply_admission(*asked, std::move(admitted), now, out);
    }
}

void gateway::review_token_waiters(time_point now, gateway_commands& out)
{
    for (const request_received& late : m_token_waiters.take_expired(now)) {
        refuse(late, {refusal_reason::over_rate, token_retry_after}, out);
    }
    for (const workspace_id workspace : m_token_waiters.workspaces()) {
        ask_for_tokens(workspace, now, out);
    }
    m_next_token_review = m_token_waiters.empty() ? time_point::max()
                                                  : now + token_review_interval;
}

void gateway::start_request(std::unique_ptr<open_request> row, time_point now,
                            gateway_commands& out)
{
    const caller_token token = row->token;
    auto& slot = m_requests[token];
    slot = std::move(row);
    open_request& request = *slot;
    if (request.suspect) {
        hold_all_but_one(request, [&](service_id service) {
            return m_quarantine.has_crashed(request.print, service);
        });
    }
    for (std::uint32_t call = 0; call < request.calls.size(); ++call) {
        m_sender.count_request(request.calls[call].service);
        if (!request.calls[call].held) {
            start_call(request, call, send_purpose::first, now, out);
        }
    }
    review(token, now, out);
}

void gateway::on(const caller_disconnected& left, time_point now,
                 gateway_commands& out)
{
    m_token_waiters.remove(left.token);
    open_request* request = find(left.token);
    if (request == nullptr) {
        return;
    }
    for (service_call& call : request->calls) {
        for (const call_send& send : call.sends) {
            if (send.open) {
                m_sender.cancel(send.exchange, now, out);
            }
        }
    }
    m_due.remove(left.token);
    m_requests.erase(left.token);
}

void gateway::on(const exchange_ended& ended, time_point now,
                 gateway_commands& out)
{
    const auto row = m_sender.end(ended, now, out);
    if (!row) {
        return;
    }
    m_waiting.record_completion(row->service, now);
    if (row->relayed_by.empty()) {
        m_relays.exchange_ended(*row, ended, now, out);
    }
    // While the links are lost, a refused connection says nothing of its
    // server.
    if (row->relayed_by.empty() && !m_relays.links_lost()) {
        m_crash_watch.exchange_ended(*row, ended, now, out);
    }
    open_request* request = row->abandoned ? nullptr : find(row->call.request);
    if (request != nullptr) {
        apply_result(*request, row->call.call, ended, now, out);
        review_held_calls(*request, now, out);
        if (!finish_if_decided(*request, now, out)) {
            schedule_review(*request, now);
        }
    }
    serve_waiting(row->service, now, out);
}

void gateway::on(const server_probed& probed, time_point now,
                 gateway_commands& out)
{
    const bool changed = m_relays.server_probed(probed, now, out);
    if (!m_relays.links_lost()) {
        m_crash_watch.server_probed(probed, now, out);
    }
    if (changed) {
        serve_all_waiting(now, out);
    }
}

void gateway::on(const vm_leaving& /*leaving*/, time_point now,
                 gateway_commands& out)
{
    m_relays.leaving(now, out);
}

void gateway::on(const relay_requested& asked, time_point now,
                 gateway_commands& out)
{
    m_relays.requested(asked, now, out);
}

void gateway::on(const relay_withdrawn& withdrawn, time_point now,
                 gateway_commands& out)
{
    m_relays.withdrawn(withdrawn.token, now, out);
}

void gateway::on(const catalogue_read& read, time_point now,
                 gateway_commands& out)
{
    if (m_settings != nullptr && read.read->version <= m_settings->version) {
        return;
    }
    m_settings = read.read;
    m_peers.settings_changed(m_settings->version);
    m_admission.catalogue_changed(m_settings);
    m_rates.catalogue_changed(m_settings, now);
    m_sender.catalogue_changed(m_settings);
    m_cold_limits.catalogue_changed(m_settings);
    serve_all_waiting(now, out);
}

void gateway::on(const servers_reported& report, time_point now,
                 gateway_commands& out)
{
    for (const backend_server_id server :
         m_directory.reported(report, now, out)) {
        m_crash_watch.server_started(server, now, out);
        m_server_limits.forget(server);
    }
    serve_all_waiting(now, out);
}

void gateway::on(const server_unlisted& gone, time_point now,
                 gateway_commands& out)
{
    m_directory.unlisted(gone.server, now, out);
}

void gateway::on(const evacuations_read& read, time_point now,
                 gateway_commands& out)
{
    m_choice.evacuations().listed(read.data_centres, now);
    serve_all_waiting(now, out);
}

void gateway::on(const store_reachability_changed& contact, time_point now,
                 gateway_commands& /*out*/)
{
    m_directory.contact_changed(contact, now);
}

// What the copy lacks was either removed before or is written again soon.
void gateway::on(const store_restored& /*restored*/, time_point now,
                 gateway_commands& /*out*/)
{
    m_directory.store_restored(now);
    m_choice.evacuations().store_restored(now);
}

void gateway::on(const datagram_received& datagram, time_point now,
                 gateway_commands& out)
{
    m_peers.received(datagram, now, out);
    m_peer_configuration.heard(datagram.from,
                               datagram.datagram.settings_version,
                               settings_version(), now);
    m_suspicions.apply_remote(datagram.from, datagram.datagram.suspicions, now,
                              out);
    m_server_limits.apply_remote(datagram.from, datagram.datagram.limits, now,
                                 out);
    m_quarantine.apply_remote(datagram.from, datagram.datagram.crashes,
                              datagram.datagram.clearances, now, out);
    update_fleet_size(now, out);
    for (const token_grant& grant : datagram.datagram.grants) {
        serve_token_waiters(grant.workspace, now, out);
        if (m_token_waiters.count(grant.workspace) > 0) {
            ask_for_tokens(grant.workspace, now, out);
        }
    }
}

void gateway::update_fleet_size(time_point now, gateway_commands& out)
{
    const std::uint32_t size = m_members.fleet_size(now);
    const double share = m_members.usable_share(now);
    if (size == m_fleet_size && share == m_fleet_share) {
        return;
    }
    if (size != m_fleet_size) {
        m_sender.fleet_changed(size);
    }
    m_fleet_size = size;
    m_fleet_share = share;
    log(log_code::fleet_size_changed,
        "vms=" + std::to_string(size) + " share=" + std::to_string(share), out);
}

void gateway::start_call(open_request& request, std::uint32_t call,
                         send_purpose purpose, time_point now,
                         gateway_commands& out)
{
    service_call& c = request.calls[call];
    if (m_quarantine.refused_for(request.print, now)) {
        c.state = c.has_open_send() ? c.state : call_state::failed;
        return;
    }
    if (purpose == send_purpose::hedge &&
        m_quarantine.is_suspect(request.print)) {
        return;
    }
    const send_outcome outcome =
        m_relays.links_lost() ? m_sender.relay(request, call, purpose, now, out)
                              : m_sender.send(request, call, purpose, now, out);
    switch (outcome) {
    case send_outcome::sent:
        return;
    case send_outcome::all_at_capacity:
        if (purpose != send_purpose::hedge && !c.has_open_send()) {
            wait_for_server(request, call);
        }
        return;
    case send_outcome::no_usable_server:
    case send_outcome::no_budget:
        if (purpose != send_purpose::hedge && !c.has_open_send()) {
            c.state = call_state::failed;
        }
        return;
    }
}

// A call whose servers all reopen too late is given up at once: a query then
// answers without that part.
void gateway::wait_for_server(open_request& request, std::uint32_t call)
{
    service_call& c = request.calls[call];
    if (c.reopens_at && *c.reopens_at >= latest_useful_send(request)) {
        c.state = call_state::failed;
        return;
    }
    c.state = call_state::waiting;
    if (c.reopens_at) {
        m_reopenings.schedule(c.service, *c.reopens_at);
    }
    if (const auto evicted = m_waiting.push(c.service, request, call)) {
        if (open_request* other = find(evicted->request)) {
            other->calls[evicted->call].state = call_state::failed;
        }
    }
}

void gateway::apply_result(open_request& request, std::uint32_t call,
                           const exchange_ended& ended, time_point now,
                           gateway_commands& out)
{
    service_call& c = request.calls[call];
    const auto send =
        std::find_if(c.sends.begin(), c.sends.end(), [&](const call_send& s) {
            return s.exchange == ended.exchange;
        });
    send->open = false;
    if (ended.server.is_set()) {
        send->server = ended.server;
    }
    if (const auto* failure = std::get_if<exchange_failure>(&ended.result)) {
        send->unsent = nothing_written(failure->fault);
        send->not_run = send->unsent;
        send->lost = failure->fault == exchange_fault::connection_lost ||
                     failure->fault == exchange_fault::kept_connection_lost;
        retry_call(request, call, now, out);
        return;
    }
    const auto& answer = std::get<backend_answer>(ended.result);
    send->not_run = answer.not_run || answer.misdirected;
    const bool final =
        answer.success() ||
        (answer.status < 500 && !send->not_run && !answer.receipt.empty());
    if (!send->not_run) {
        c.answer = answer;
    }
    if (!final) {
        retry_call(request, call, now, out);
        return;
    }
    c.state = answer.success() ? call_state::answered : call_state::failed;
    for (call_send& other : c.sends) {
        if (other.open) {
            other.open = false;
            m_sender.abandon(other.exchange, now);
        }
    }
}

// A non-repeatable request is retried only if every earlier send is proved not
// to have run it.
void gateway::retry_call(open_request& request, std::uint32_t call,
                         time_point now, gateway_commands& out)
{
    service_call& c = request.calls[call];
    if (c.has_open_send()) {
        return;
    }
    const bool allowed = (request.terms->repeatable || !c.may_have_run()) &&
                         c.counted_sends() < request.terms->max_sends &&
                         c.sends.size() < max_attempts &&
                         now < request.deadline;
    if (!allowed || (request.suspect && c.lost_sends() > 0)) {
        c.state = call_state::failed;
        return;
    }
    if (must_hold_retry(request, call)) {
        c.state = call_state::waiting;
        c.held = true;
        return;
    }
    start_call(request, call, send_purpose::retry, now, out);
}

void gateway::review_held_calls(open_request& request, time_point now,
                                gateway_commands& out)
{
    const bool suspect =
        request.suspect && m_quarantine.is_suspect(request.print);
    const held_decision decision = decide_held(request, suspect);
    if (decision == held_decision::wait) {
        return;
    }
    for (std::uint32_t call = 0; call < request.calls.size(); ++call) {
        service_call& c = request.calls[call];
        if (!c.held) {
            continue;
        }
        c.held = false;
        if (decision == held_decision::fail) {
            c.state = call_state::failed;
            continue;
        }
        start_call(request, call,
                   c.sends.empty() ? send_purpose::first : send_purpose::retry,
                   now, out);
        if (decision == held_decision::release_one) {
            return;
        }
    }
}

void gateway::serve_waiting(service_id service, time_point now,
                            gateway_commands& out)
{
    while (const auto next = m_waiting.pop(service, now)) {
        open_request* request = find(next->request);
        if (request == nullptr ||
            request->calls[next->call].state != call_state::waiting) {
            continue;
        }
        start_call(*request, next->call, send_purpose::first, now, out);
        const call_state state = request->calls[next->call].state;
        if (finish_if_decided(*request, now, out)) {
            continue;
        }
        schedule_review(*request, now);
        if (state == call_state::waiting) {
            return;
        }
    }
}

void gateway::serve_all_waiting(time_point now, gateway_commands& out)
{
    for (const service_id service : m_waiting.services()) {
        serve_waiting(service, now, out);
    }
}

void gateway::review(caller_token token, time_point now, gateway_commands& out)
{
    open_request* request = find(token);
    if (request == nullptr || finish_if_decided(*request, now, out)) {
        return;
    }
    review_stragglers(*request, now, out);
    schedule_review(*request, now);
}

void gateway::review_stragglers(open_request& request, time_point now,
                                gateway_commands& out)
{
    const straggler_ages ages = m_sender.ages_for(*request.terms);
    for (const backend_server_id server :
         take_late_servers(request, ages.suspicion, now)) {
        m_suspicions.found(server, suspicion_cause::late, now, out);
    }
    for (const std::uint32_t call : calls_to_hedge(request, ages.hedge, now)) {
        service_call& c = request.calls[call];
        const std::size_t sends = c.sends.size();
        start_call(request, call, send_purpose::hedge, now, out);
        if (c.sends.size() == sends) {
            c.no_hedge_before = now + hedge_retry_interval;
        }
    }
}

void gateway::schedule_review(const open_request& request, time_point now)
{
    const time_point next =
        next_check_time(request, m_sender.ages_for(*request.terms), now);
    m_due.schedule(request.token, std::max(next, now + min_review_interval));
}

void gateway::broadcast_news(time_point now, gateway_commands& out)
{
    gateway_datagram news;
    news.suspicions = m_suspicions.take_local_suspicions();
    news.limits = m_server_limits.take_reports(now);
    news.crashes = m_quarantine.take_reports(now);
    news.clearances = m_quarantine.take_clearances(now);
    if (!news.suspicions.empty() || !news.limits.empty() ||
        !news.crashes.empty() || !news.clearances.empty()) {
        m_peers.broadcast(std::move(news), now, out);
    }
}

bool gateway::finish_if_decided(open_request& request, time_point now,
                                gateway_commands& out)
{
    auto answer = answer_if_ready(request, now);
    if (!answer) {
        return false;
    }
    finish(request, std::move(*answer), now, out);
    return true;
}

void gateway::finish(open_request& request, gateway_answer answer,
                     time_point now, gateway_commands& out)
{
    const bool late = now >= request.deadline;
    for (const service_call& call : request.calls) {
        for (const call_send& send : call.sends) {
            if (!send.open) {
                continue;
            }
            if (late) {
                m_sender.cancel(send.exchange, now, out);
            } else {
                m_sender.abandon(send.exchange, now);
            }
        }
    }
    const caller_token token = request.token;
    if (should_log_answer(answer)) {
        log(log_code::request_not_served,
            describe(request, now) + " outcome=" + outcome_of(answer), out);
    }
    out.push_back(answer_to_caller{token, std::move(answer)});
    m_due.remove(token);
    m_requests.erase(token);
}

open_request* gateway::find(caller_token token)
{
    const auto found = m_requests.find(token);
    return found == m_requests.end() ? nullptr : found->second.get();
}

} // namespace cranberrywood
