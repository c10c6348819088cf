#include "systems/queries/admission.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Capacity of the admission queue of this VM, in requests. */
constexpr std::size_t queue_limit = 4096;
/**
 * Quantum of the fair queue, in sub-requests; within it the order of arrival is
 * kept.
 */
constexpr std::uint32_t arrival_order_quantum = 4;
/** Maximum wait for rate tokens. */
constexpr duration max_token_wait = 100ms;
/**
 * A request waits for rate tokens for at most this fraction (1/n) of its
 * deadline.
 */
constexpr int token_wait_divisor = 2;
/**
 * Requests with less time left than this cannot be answered and are not
 * started.
 */
constexpr duration min_processing_time = 2ms;

} // namespace

admission::admission(const rights_check& rights, rate_borrower& rates)
    : m_rights(rights), m_rates(rates),
      m_queue(queue_limit, arrival_order_quantum)
{
}

void admission::settings_changed(std::shared_ptr<const settings_index> settings)
{
    m_settings = std::move(settings);
}

void admission::refuse(caller_token token, bool is_lookup, error_detail error,
                       outbox& out)
{
    ++m_refusals[error.why];
    unsent_proof proof;
    if (is_lookup) {
        proof.send();
    }
    out.issue(
        answer_caller{token, to_response(proof.refuse(std::move(error)))});
}

void admission::accept(admitted_request request, time_point now, outbox& out)
{
    const workspace_id workspace = request.rights.workspace;
    if (!workspace.is_set()) {
        enqueue(std::move(request), out);
        return;
    }
    const caller_token token = request.token;
    const duration wait =
        std::min(max_token_wait, (request.deadline - now) / token_wait_divisor);
    m_waiting_for_tokens.emplace(token, std::move(request));
    m_rates.request(token, workspace, wait, now, out);
}

bool admission::caller_gone(caller_token token)
{
    if (m_waiting_for_tokens.erase(token) != 0) {
        m_rates.cancel(token);
        return true;
    }
    const auto taken = m_queue.take_if(
        [token](const admitted_request& r) { return r.token == token; });
    return !taken.empty();
}

void admission::tick(time_point now, outbox& out)
{
    for (const rate_decision& decision : m_rates.take_decisions()) {
        auto waiting = m_waiting_for_tokens.extract(decision.caller);
        if (waiting.empty()) {
            continue;
        }
        if (decision.granted) {
            enqueue(std::move(waiting.mapped()), out);
            continue;
        }
        refuse(decision.caller, waiting.mapped().lookup.has_value(),
               {step::rate, reason::over_rate, decision.refused_at, {}, {}},
               out);
    }
    m_queue.drop_expired(now, min_processing_time);
    for (const admitted_request& late : m_queue.take_expired()) {
        refuse(late.token, late.lookup.has_value(),
               {step::queue, reason::deadline_passed, {}, {}, {}}, out);
    }
}

void admission::enqueue(admitted_request request, outbox& out)
{
    const auto* workspace = m_settings->find(request.rights.workspace);
    enqueue_options terms;
    terms.workspace = request.rights.workspace;
    terms.weight = workspace != nullptr ? workspace->weight : 1;
    terms.cost = 1;
    if (!request.lookup) {
        const auto shards = m_settings->shards_of(request.service).size();
        terms.cost =
            static_cast<std::uint32_t>(std::max<std::size_t>(1, shards));
    }
    terms.deadline = request.deadline;
    const auto pushed_out = m_queue.push(terms, std::move(request));
    if (pushed_out) {
        refuse(pushed_out->token, pushed_out->lookup.has_value(),
               {step::queue, reason::overloaded, {}, {}, {}}, out);
    }
}

std::optional<admitted_request> admission::next(time_point now, outbox& out)
{
    while (auto request = m_queue.pop(now, min_processing_time)) {
        const auto refused =
            m_rights.find_refusal(request->rights, request->service);
        if (!refused) {
            return request;
        }
        refuse(request->token, request->lookup.has_value(), *refused, out);
    }
    return std::nullopt;
}

} // namespace cranberrywood
