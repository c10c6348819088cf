#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_REQUEST_ANSWER_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_REQUEST_ANSWER_HPP

#include "tables/open_request.hpp"

#include <optional>

namespace cranberrywood {

/** Returns how many calls of a request have to be answered for a success. */
std::uint32_t required_calls(const open_request& request);

/**
 * Returns until when a send can still be of use: the target of a query, which
 * then answers without the part, or the deadline.
 */
time_point latest_useful_send(const open_request& request);

/**
 * Returns the answer to a request from the state of its calls; nullopt while
 * the request should wait for more calls.
 */
std::optional<gateway_answer> answer_if_ready(const open_request& request,
                                              time_point now);

} // namespace cranberrywood

#endif
