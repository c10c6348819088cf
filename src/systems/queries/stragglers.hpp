#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_STRAGGLERS_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_STRAGGLERS_HPP

#include "tables/open_request.hpp"

/** Detection of late sends of a request, for hedges and suspicions. */
namespace cranberrywood {

/**
 * Ages at which an unanswered send of a route is hedged or makes its server
 * suspect.
 */
struct straggler_ages
{
    /** Age at which the call is also sent to a second server. */
    duration hedge{0};
    /** Age at which the server is suspected of being paused or slow. */
    duration suspicion{0};
};

/** Returns the calls that are due for a hedge. */
std::vector<std::uint32_t> calls_to_hedge(const open_request& request,
                                          duration hedge_age, time_point now);

/** An unanswered send that became late. */
struct late_send
{
    backend_server_id server;
    time_point sent_at;
};

/** Returns the sends that became late, and marks them. */
std::vector<late_send> take_late_sends(open_request& request, duration age,
                                       time_point now);

/** Returns when a request in flight must be checked next. */
time_point next_check_time(const open_request& request,
                           const straggler_ages& ages, time_point now);

} // namespace cranberrywood

#endif
