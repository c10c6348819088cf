#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_REQUEST_ANSWER_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_REQUEST_ANSWER_HPP

#include "tables/open_request.hpp"

#include <optional>

namespace cranberrywood {

/**
 * Returns the answer to a request from the state of its calls; nullopt while
 * the request should wait for more calls.
 */
std::optional<gateway_answer> answer_if_ready(const open_request& request,
                                              time_point now);

} // namespace cranberrywood

#endif
