#ifndef CRANBERRYWOOD_CORE_REQUEST_LOG_HPP
#define CRANBERRYWOOD_CORE_REQUEST_LOG_HPP

#include "tables/open_request.hpp"

#include <functional>
#include <string>

/** Formats log lines about requests. */
namespace cranberrywood {

/** Returns a duration in whole milliseconds. */
std::string milliseconds_text(duration d);

/** Returns log fields that describe the progress of a request. */
std::string describe(const open_request& request, time_point now);

/** Gives services and backend servers the names that operators know. */
struct log_names
{
    std::function<std::string(service_id)> service;
    std::function<std::string(backend_server_id)> server;
};

/**
 * Returns the calls without an answer, the first few of them:
 * `SERVICE:STATE[SERVER@AGE_MS...]`, with the state of each send, by blanks.
 */
std::string describe_unanswered(const open_request& request,
                                const log_names& names, time_point now);

/** Returns whether an answer is incomplete, refused or failed. */
bool should_log_answer(const gateway_answer& answer);

/** Returns an answer's outcome as a log field value. */
std::string outcome_of(const gateway_answer& answer);

} // namespace cranberrywood

#endif
