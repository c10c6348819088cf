#ifndef CRANBERRYWOOD_CORE_GATEWAY_SETTINGS_HPP
#define CRANBERRYWOOD_CORE_GATEWAY_SETTINGS_HPP

#include "systems/members/member_directory.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <cstdint>

namespace cranberrywood {

/** What a gateway is told at its start about its place and its bounds. */
struct gateway_settings
{
    data_centre_id data_centre;
    /** Extra sends that a service bears, in percent of its requests. */
    std::uint32_t extra_send_percent = 20;
    /** Extra sends that a service bears besides, over all VMs. */
    std::uint32_t extra_send_allowance = 50;
    member_identity member;
};

} // namespace cranberrywood

#endif
