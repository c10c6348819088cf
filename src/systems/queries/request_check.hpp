#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_REQUEST_CHECK_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_REQUEST_CHECK_HPP

#include "core/admitted_request.hpp"
#include "core/events.hpp"
#include "systems/settings/rights_check.hpp"

namespace cranberrywood {

/**
 * Validates a caller's request against the settings and replaces its key by the
 * rights of the workspace. No part of a request is sent before this check
 * passes.
 */
std::variant<admitted_request, error_detail>
check_request(const caller_request& request, const settings_index& settings,
              const rights_check& rights, time_point now);

} // namespace cranberrywood

#endif
