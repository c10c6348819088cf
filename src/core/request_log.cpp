#include "core/request_log.hpp"

namespace cranberrywood {

namespace {

/** Calls and sends in a line; a large query has many. */
constexpr std::size_t max_logged_calls = 8;

const char* state_of(const service_call& call)
{
    switch (call.state) {
    case call_state::waiting:
        return call.held ? "held" : "waiting";
    case call_state::sent:
        return "sent";
    case call_state::answered:
        return "answered";
    case call_state::failed:
        return "failed";
    }
    return "";
}

const char* state_of(const call_send& send)
{
    if (send.lost) {
        return "lost";
    }
    if (send.unsent) {
        return "unsent";
    }
    if (send.not_run) {
        return "refused";
    }
    return send.open ? "open" : "ended";
}

std::string describe(const service_call& call, const log_names& names,
                     time_point now)
{
    std::string text = names.service(call.service) + ":" + state_of(call) + "[";
    for (const call_send& send : call.sends) {
        text += text.back() == '[' ? "" : ",";
        text += send.server.is_set() ? names.server(send.server) : "relay";
        text += "@" + milliseconds_text(now - send.at) + state_of(send);
    }
    return text + "]";
}

} // namespace

std::string milliseconds_text(duration d)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

std::string describe(const open_request& request, time_point now)
{
    std::uint32_t answered = 0;
    std::uint32_t waiting = 0;
    std::size_t sends = 0;
    for (const service_call& call : request.calls) {
        answered += call.state == call_state::answered ? 1 : 0;
        waiting += call.state == call_state::waiting ? 1 : 0;
        sends += call.sends.size();
    }
    return "request=" + request.outbound->id + " route=" + request.terms->name +
           " age_ms=" + milliseconds_text(now - request.arrived) +
           " calls=" + std::to_string(request.calls.size()) +
           " answered=" + std::to_string(answered) +
           " waiting=" + std::to_string(waiting) +
           " sends=" + std::to_string(sends) +
           " max_sends=" + std::to_string(request.terms->max_sends) +
           " repeatable=" + (request.terms->repeatable ? "yes" : "no") +
           (request.limited_by_stop ? " limited_by=vm_stop" : "");
}

std::string describe_unanswered(const open_request& request,
                                const log_names& names, time_point now)
{
    std::string text;
    std::size_t logged = 0;
    for (const service_call& call : request.calls) {
        if (call.state == call_state::answered) {
            continue;
        }
        if (++logged > max_logged_calls) {
            return text + " more";
        }
        text += (text.empty() ? "" : " ") + describe(call, names, now);
    }
    return text;
}

bool should_log_answer(const gateway_answer& answer)
{
    const auto* gathered = std::get_if<gathered_answer>(&answer);
    const auto* relayed = std::get_if<relayed_answer>(&answer);
    constexpr unsigned first_failure = 500;
    return (gathered == nullptr || gathered->missing > 0) &&
           (relayed == nullptr || relayed->message->status >= first_failure);
}

std::string outcome_of(const gateway_answer& answer)
{
    struct visitor
    {
        std::string operator()(const relayed_answer& a) const
        {
            return "relayed_" + std::to_string(a.message->status);
        }
        std::string operator()(const gathered_answer& a) const
        {
            return "missing_" + std::to_string(a.missing);
        }
        std::string operator()(const refused_answer& a) const
        {
            return name_of(a.why);
        }
        std::string operator()(const failed_answer& a) const
        {
            return name_of(a.why);
        }
    };
    return std::visit(visitor{}, answer);
}

} // namespace cranberrywood
