#include "core/request_runner.hpp"

#include "core/log_codes.hpp"
#include "core/request_log.hpp"
#include "systems/queries/held_calls.hpp"
#include "systems/queries/request_answer.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Shortest time between two reviews of a request. */
constexpr duration min_review_interval = 1ms;
/** Time after which a hedge that found no server or budget is tried again. */
constexpr duration hedge_retry_interval = 12ms;
/** Largest number of sends of one call, including sends proved not run. */
constexpr std::size_t max_attempts = 4;

} // namespace

request_runner::request_runner(call_sender& sender, const relay_service& relays,
                               const crash_quarantine& quarantine,
                               waiting_calls& waiting)
    : m_sender(sender), m_relays(relays), m_quarantine(quarantine),
      m_waiting(waiting)
{
}

void request_runner::review_due(time_point now, gateway_commands& out)
{
    while (const auto token = m_due.pop_due(now)) {
        review(*token, now, out);
    }
}

void request_runner::serve_reopened(time_point now, gateway_commands& out)
{
    while (const auto service = m_reopenings.pop_due(now)) {
        serve_waiting(*service, now, out);
    }
}

std::optional<time_point> request_runner::next_wakeup() const
{
    const auto review = m_due.next_due();
    const auto reopening = m_reopenings.next_due();
    return review && reopening ? std::min(review, reopening)
           : review            ? review
                               : reopening;
}

void request_runner::caller_left(caller_token token, time_point now,
                                 gateway_commands& out)
{
    open_request* request = find(token);
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
    m_due.remove(token);
    m_requests.erase(token);
}

void request_runner::answer_all_by(time_point latest, time_point now,
                                   gateway_commands& out)
{
    std::vector<caller_token> limited;
    for (const auto& [token, request] : m_requests) {
        if (latest < request->deadline) {
            request->limit_deadline(latest);
            limited.push_back(token);
        }
    }
    for (const caller_token token : limited) {
        review(token, now, out);
    }
}

void request_runner::exchange_ended(const exchange_row& row,
                                    const cranberrywood::exchange_ended& ended,
                                    time_point now, gateway_commands& out)
{
    open_request* request = row.abandoned ? nullptr : find(row.call.request);
    if (request != nullptr) {
        apply_result(*request, row.call.call, ended, now, out);
        review_held_calls(*request, now, out);
        if (!finish_if_decided(*request, now, out)) {
            schedule_review(*request, now);
        }
    }
    serve_waiting(row.service, now, out);
}

void request_runner::start(std::unique_ptr<open_request> row, time_point now,
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

void request_runner::start_call(open_request& request, std::uint32_t call,
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
void request_runner::wait_for_server(open_request& request, std::uint32_t call)
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

void request_runner::apply_result(open_request& request, std::uint32_t call,
                                  const cranberrywood::exchange_ended& ended,
                                  time_point now, gateway_commands& out)
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
void request_runner::retry_call(open_request& request, std::uint32_t call,
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

void request_runner::review_held_calls(open_request& request, time_point now,
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

void request_runner::serve_waiting(service_id service, time_point now,
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

void request_runner::serve_all_waiting(time_point now, gateway_commands& out)
{
    for (const service_id service : m_waiting.services()) {
        serve_waiting(service, now, out);
    }
}

void request_runner::review(caller_token token, time_point now,
                            gateway_commands& out)
{
    open_request* request = find(token);
    if (request == nullptr || finish_if_decided(*request, now, out)) {
        return;
    }
    review_stragglers(*request, now, out);
    schedule_review(*request, now);
}

void request_runner::review_stragglers(open_request& request, time_point now,
                                       gateway_commands& out)
{
    const straggler_ages ages = m_sender.ages_for(*request.terms);
    for (const late_send& late :
         take_late_sends(request, ages.suspicion, now)) {
        m_sender.send_late(late, *request.terms, now, out);
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

void request_runner::schedule_review(const open_request& request,
                                     time_point now)
{
    const time_point next =
        next_check_time(request, m_sender.ages_for(*request.terms), now);
    m_due.schedule(request.token, std::max(next, now + min_review_interval));
}

bool request_runner::finish_if_decided(open_request& request, time_point now,
                                       gateway_commands& out)
{
    auto answer = answer_if_ready(request, now);
    if (!answer) {
        return false;
    }
    finish(request, std::move(*answer), now, out);
    return true;
}

void request_runner::finish(open_request& request, gateway_answer answer,
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
        out.push_back(gateway_log{
            static_cast<std::uint32_t>(log_code::request_not_served),
            describe(request, now) + " outcome=" + outcome_of(answer) +
                " unanswered=\"" +
                describe_unanswered(request, m_sender.names(), now) + '"'});
    }
    out.push_back(answer_to_caller{token, std::move(answer)});
    m_due.remove(token);
    m_requests.erase(token);
}

open_request* request_runner::find(caller_token token)
{
    const auto found = m_requests.find(token);
    return found == m_requests.end() ? nullptr : found->second.get();
}

} // namespace cranberrywood
