#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_HELD_CALLS_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_HELD_CALLS_HPP

#include "tables/open_request.hpp"

#include <functional>

namespace cranberrywood {

/**
 * A request that may crash servers is tried at one server first; its other
 * calls are held until that one has completed.
 */
enum class held_decision : std::uint8_t
{
    /** The trial has not ended, or no call is held. */
    wait,
    /** Send one of the held calls, as the next trial. */
    release_one,
    /** Send all held calls. */
    release_all,
    /** Give up the held calls: the trial lost its server as well. */
    fail,
};

/**
 * Holds all calls of a suspect request but one, to a service whose server
 * crashed if there is one.
 */
void hold_all_but_one(open_request& request,
                      const std::function<bool(service_id)>& has_crashed);

/**
 * Returns whether a call that lost its server has to wait, as another call of
 * the request that lost its server is being retried.
 */
bool must_hold_retry(const open_request& request, std::uint32_t call);

/**
 * Decides about the held calls. A request that is still suspect is released
 * call by call.
 */
held_decision decide_held(const open_request& request, bool still_suspect);

} // namespace cranberrywood

#endif
