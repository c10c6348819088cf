#ifndef CRANBERRYWOOD_CORE_GATEWAY_SETTINGS_HPP
#define CRANBERRYWOOD_CORE_GATEWAY_SETTINGS_HPP

#include "systems/members/member_directory.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <cstdint>

namespace cranberrywood {

/** Start-up settings of a gateway: its location and limits. */
struct gateway_settings
{
    /** Limit on a service's extra sends, in percent of its requests. */
    std::uint32_t extra_send_percent = 20;
    /** Fixed allowance of extra sends per service in addition, over all VMs. */
    double extra_send_allowance = 50.0;
    member_identity member;
    /** Time for which the process has run when the gateway is created. */
    duration age{0};
};

} // namespace cranberrywood

#endif
