#include "systems/queries/stragglers.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

bool may_hedge(const open_request& request)
{
    return request.terms->repeatable && request.terms->max_sends > 1;
}

bool may_hedge(const open_request& request, const service_call& call)
{
    return call.state == call_state::sent &&
           call.counted_sends() < request.terms->max_sends;
}

time_point hedge_time(const service_call& call, duration hedge_age)
{
    return std::max(call.sends.back().at + hedge_age, call.no_hedge_before);
}

} // namespace

std::vector<std::uint32_t> calls_to_hedge(const open_request& request,
                                          duration hedge_age, time_point now)
{
    std::vector<std::uint32_t> late;
    if (!may_hedge(request)) {
        return late;
    }
    for (std::uint32_t call = 0; call < request.calls.size(); ++call) {
        const service_call& c = request.calls[call];
        if (may_hedge(request, c) && now >= hedge_time(c, hedge_age)) {
            late.push_back(call);
        }
    }
    return late;
}

std::vector<late_send> take_late_sends(open_request& request, duration age,
                                       time_point now)
{
    std::vector<late_send> late;
    for (service_call& call : request.calls) {
        for (call_send& send : call.sends) {
            if (send.open && !send.made_suspect && now - send.at >= age) {
                send.made_suspect = true;
                late.push_back({send.server, send.at});
            }
        }
    }
    return late;
}

time_point next_check_time(const open_request& request,
                           const straggler_ages& ages, time_point now)
{
    time_point next = request.deadline;
    if (now < request.answer_at &&
        std::holds_alternative<gather_target>(request.terms->target)) {
        next = std::min(next, request.answer_at);
    }
    const bool hedges = may_hedge(request);
    for (const service_call& call : request.calls) {
        if (hedges && may_hedge(request, call)) {
            next = std::min(next, hedge_time(call, ages.hedge));
        }
        for (const call_send& send : call.sends) {
            if (send.open && !send.made_suspect) {
                next = std::min(next, send.at + ages.suspicion);
            }
        }
    }
    return next;
}

} // namespace cranberrywood
