#ifndef CRANBERRYWOOD_CORE_REQUEST_LOG_HPP
#define CRANBERRYWOOD_CORE_REQUEST_LOG_HPP

#include "tables/open_request.hpp"

#include <string>

/** Formats log lines about requests. */
namespace cranberrywood {

/** Returns a duration in whole milliseconds. */
std::string milliseconds_text(duration d);

/** Returns log fields that describe the progress of a request. */
std::string describe(const open_request& request, time_point now);

/** Returns whether an answer is incomplete, refused or failed. */
bool should_log_answer(const gateway_answer& answer);

/** Returns an answer's outcome as a log field value. */
std::string outcome_of(const gateway_answer& answer);

} // namespace cranberrywood

#endif
