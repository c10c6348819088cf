#ifndef CRANBERRYWOOD_CRANBERRYWOODCTL_BURN_COMMAND_HPP
#define CRANBERRYWOOD_CRANBERRYWOODCTL_BURN_COMMAND_HPP

#include "cranberrywoodctl/command_line.hpp"

namespace cranberrywood::ctl {

/** Reports the burn of service levels over the VMs' windows. */
int burn_command(const words& arguments);

} // namespace cranberrywood::ctl

#endif
