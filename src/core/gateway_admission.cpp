#include "core/gateway_admission.hpp"

#include "systems/queries/request_answer.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Time reserved to build an answer and to write it. */
constexpr duration answer_write_time = 4ms;
/**
 * Fraction of the target latency reserved for what this VM cannot see: the
 * request waits in the socket, and the answer behind the sends of another
 * query.
 */
constexpr int unseen_delay_divisor = 10;
/** Bounds of the retry delay given to a refused caller. */
constexpr duration min_retry_after = 50ms;
constexpr duration max_retry_after = 2s;

duration clamp_retry_after(duration wait)
{
    return std::clamp(wait, min_retry_after, max_retry_after);
}

} // namespace

fingerprint fingerprint_of(workspace_id workspace,
                           const request_received& asked)
{
    return fingerprint_of(workspace,
                          {asked.host, asked.outbound->method,
                           asked.outbound->target, asked.outbound->body});
}

gateway_admission::gateway_admission(rate_slices& rates, waiting_calls& waiting,
                                     const crash_quarantine& quarantine,
                                     const server_choice& choice,
                                     startup_progress& startup,
                                     random_source& random)
    : m_rates(rates), m_waiting(waiting), m_quarantine(quarantine),
      m_choice(choice), m_startup(startup), m_random(random)
{
}

void gateway_admission::catalogue_changed(
    std::shared_ptr<const catalogue> settings)
{
    m_settings = std::move(settings);
}

void gateway_admission::leaving(const vm_leaving& terms)
{
    m_leaving = terms;
}

refused_answer
gateway_admission::refuse_unknown(refusal_reason why,
                                  std::optional<std::uint32_t> priority,
                                  time_point now) const
{
    if (m_startup.has(startup_step::confirmed)) {
        return {why, std::nullopt};
    }
    return {refusal_reason::not_ready, m_startup.retry_after(priority, now)};
}

// Until the balancer sends its callers elsewhere, requests are served that may
// take longer than the VM has: most do not.
bool gateway_admission::outlasts_vm(open_request& request, time_point now) const
{
    if (request.deadline <= m_leaving.answer_by) {
        return false;
    }
    request.limit_deadline(m_leaving.answer_by);
    return now >= std::min(m_leaving.refuse_from, m_leaving.answer_by);
}

admission_result gateway_admission::admit(const request_received& asked,
                                          time_point now)
{
    if (m_settings == nullptr) {
        return refused_answer{refusal_reason::not_ready,
                              m_startup.retry_after(std::nullopt, now)};
    }
    const auto terms = m_settings->find_route(asked.host, asked.path);
    if (terms == nullptr) {
        return refuse_unknown(refusal_reason::route_unknown, std::nullopt, now);
    }
    if (!m_startup.has(startup_step::servers) &&
        !m_startup.has(startup_step::confirmed)) {
        return refused_answer{refusal_reason::not_ready,
                              m_startup.retry_after(terms->priority, now)};
    }
    auto request = std::make_unique<open_request>();
    request->token = asked.token;
    request->outbound = asked.outbound;
    request->terms = terms;
    request->priority = terms->priority;
    request->arrived = asked.arrived;
    request->deadline =
        asked.arrived + std::min(asked.deadline, terms->timeout);
    request->answer_at =
        asked.arrived + terms->target_latency -
        std::min(asked.network_time + answer_write_time +
                     terms->target_latency / unseen_delay_divisor,
                 terms->target_latency / 2);
    if (outlasts_vm(*request, now)) {
        return refused_answer{refusal_reason::vm_stops, min_retry_after};
    }
    if (!terms->open && m_settings->has_workspaces()) {
        const workspace_entry* workspace =
            m_settings->find_workspace(asked.key);
        if (workspace == nullptr) {
            return refuse_unknown(refusal_reason::key_unknown, terms->priority,
                                  now);
        }
        request->workspace = workspace->id;
        request->workspace_name = workspace->name;
        request->priority = workspace->priority.value_or(request->priority);
    }
    request->print = fingerprint_of(request->workspace, asked);
    request->suspect = m_quarantine.is_suspect(request->print);
    if (const auto term = m_quarantine.refused_for(request->print, now)) {
        return refused_answer{refusal_reason::crashes_servers, *term};
    }
    request->calls = calls_for(*terms);
    if (const auto opens = late_opening(*request, now)) {
        return refused_answer{refusal_reason::no_server,
                              std::max(min_retry_after, *opens - now)};
    }
    if (const auto wait = excess_wait(*request, now)) {
        return refused_answer{refusal_reason::overloaded,
                              clamp_retry_after(*wait)};
    }
    if (request->workspace.is_set()) {
        const take_outcome taken = m_rates.take(request->workspace, now);
        if (taken.result == take_result::ask_others) {
            return token_needed{request->workspace};
        }
        if (taken.result == take_result::refused) {
            return refused_answer{refusal_reason::over_rate,
                                  clamp_retry_after(taken.retry_after)};
        }
    }
    return request;
}

// Without this check the other shards of a query would do work for an answer
// that cannot be given. A service without any usable server is left to the
// sends, as it may be listed again at any moment.
std::optional<time_point>
gateway_admission::late_opening(const open_request& request,
                                time_point now) const
{
    const std::size_t required = required_calls(request);
    std::vector<time_point> openings;
    for (const service_call& call : request.calls) {
        openings.push_back(m_choice.opens_at(call.service, now).value_or(now));
    }
    const auto last_required =
        openings.begin() + static_cast<std::ptrdiff_t>(required - 1);
    std::nth_element(openings.begin(), last_required, openings.end());
    if (*last_required < latest_useful_send(request)) {
        return std::nullopt;
    }
    return *last_required;
}

// The service with the longest expected wait decides, since a request over
// several shards completes with its slowest call.
std::optional<duration>
gateway_admission::excess_wait(const open_request& request, time_point now)
{
    duration longest{0};
    for (const service_call& call : request.calls) {
        longest = std::max(longest, m_waiting.expected_wait(
                                        call.service, request.priority, now));
    }
    const duration time_left =
        std::min(request.answer_at, request.deadline) - now;
    if (longest <= time_left) {
        return std::nullopt;
    }
    return longest - time_left;
}

std::vector<service_call> gateway_admission::calls_for(const route& terms)
{
    struct visitor
    {
        random_source& random;

        std::vector<service_call> operator()(const forward_target& to) const
        {
            std::uint64_t total = 0;
            for (const weighted_service& part : to.services) {
                total += part.weight;
            }
            std::uint64_t drawn = total == 0 ? 0 : random.below(total);
            for (const weighted_service& part : to.services) {
                if (drawn < part.weight) {
                    return {call_to(part.service)};
                }
                drawn -= part.weight;
            }
            return {call_to(to.services.front().service)};
        }
        std::vector<service_call> operator()(const gather_target& from) const
        {
            std::vector<service_call> calls;
            for (const service_id shard : from.shards) {
                calls.push_back(call_to(shard));
            }
            return calls;
        }
        static service_call call_to(service_id service)
        {
            service_call call;
            call.service = service;
            return call;
        }
    };
    return std::visit(visitor{m_random}, terms.target);
}

} // namespace cranberrywood
