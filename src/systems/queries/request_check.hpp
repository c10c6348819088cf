#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_REQUEST_CHECK_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_REQUEST_CHECK_HPP

#include "core/admitted_request.hpp"
#include "core/events.hpp"
#include "systems/settings/rights_check.hpp"

namespace cranberrywood {

/**
 * Checks a caller's request against the settings and turns it into one that
 * carries rights in place of the key. Nothing is sent before it has passed.
 */
std::variant<admitted_request, error_detail>
check_request(const caller_request& request, const settings_index& settings,
              const rights_check& rights, time_point now);

} // namespace cranberrywood

#endif
