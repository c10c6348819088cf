#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_STRAGGLERS_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_STRAGGLERS_HPP

#include "tables/open_request.hpp"

/** Which sends of a request are late, and when to look again. */
namespace cranberrywood {

/** Ages at which something is done about an unanswered send of a route. */
struct straggler_ages
{
    /** The call is sent to a second server. */
    duration hedge{0};
    /** The server is taken for paused or slow. */
    duration suspicion{0};
};

/** Returns the calls that are due for a second send. */
std::vector<std::uint32_t> calls_to_hedge(const open_request& request,
                                          duration hedge_age, time_point now);

/** Returns the servers whose sends became late; marks these sends. */
std::vector<backend_server_id> take_late_servers(open_request& request,
                                                 duration age, time_point now);

/** Returns when a request that is not answered has to be looked at next. */
time_point next_check_time(const open_request& request,
                           const straggler_ages& ages, time_point now);

} // namespace cranberrywood

#endif
