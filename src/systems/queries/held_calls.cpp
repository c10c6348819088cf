#include "systems/queries/held_calls.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

/** Servers that one call may lose before the others are given up. */
constexpr std::uint32_t max_lost_sends = 2;

bool is_on_trial(const open_request& request, const service_call& call)
{
    return !call.held && !call.done() &&
           (request.suspect || call.lost_sends() > 0);
}

} // namespace

void hold_all_but_one(open_request& request,
                      const std::function<bool(service_id)>& has_crashed)
{
    auto& calls = request.calls;
    auto trial =
        std::find_if(calls.begin(), calls.end(), [&](const service_call& c) {
            return has_crashed(c.service);
        });
    trial = trial == calls.end() ? calls.begin() : trial;
    for (auto call = calls.begin(); call != calls.end(); ++call) {
        call->held = call != trial;
    }
}

bool must_hold_retry(const open_request& request, std::uint32_t call)
{
    if (request.calls[call].lost_sends() == 0) {
        return false;
    }
    for (std::uint32_t other = 0; other < request.calls.size(); ++other) {
        if (other != call && is_on_trial(request, request.calls[other])) {
            return true;
        }
    }
    return false;
}

held_decision decide_held(const open_request& request, bool still_suspect)
{
    const auto& calls = request.calls;
    const bool any_held =
        std::any_of(calls.begin(), calls.end(),
                    [](const service_call& c) { return c.held; });
    const bool on_trial =
        std::any_of(calls.begin(), calls.end(), [&](const service_call& c) {
            return is_on_trial(request, c);
        });
    if (!any_held || on_trial) {
        return held_decision::wait;
    }
    const std::uint32_t most_lost = request.suspect ? 1 : max_lost_sends;
    bool completed = false;
    for (const service_call& call : calls) {
        if (call.state == call_state::failed &&
            call.lost_sends() >= most_lost) {
            return held_decision::fail;
        }
        completed = completed || (call.state == call_state::answered &&
                                  (request.suspect || call.lost_sends() > 0));
    }
    return completed && !still_suspect ? held_decision::release_all
                                       : held_decision::release_one;
}

} // namespace cranberrywood
