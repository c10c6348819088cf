#ifndef CRANBERRYWOOD_CORE_REQUEST_LOG_HPP
#define CRANBERRYWOOD_CORE_REQUEST_LOG_HPP

#include "tables/open_request.hpp"

#include <string>

/** Texts of the log lines about requests. */
namespace cranberrywood {

/** Returns a duration in whole milliseconds. */
std::string milliseconds_text(duration d);

/** Returns the fields that tell how far a request has come. */
std::string describe(const open_request& request, time_point now);

/** Returns whether an answer is other than what the caller asked for. */
bool should_log_answer(const gateway_answer& answer);

/** Returns an answer's outcome in one word. */
std::string outcome_of(const gateway_answer& answer);

} // namespace cranberrywood

#endif
