#ifndef CRANBERRYWOOD_CRANBERRYWOODCTL_STATUS_COMMAND_HPP
#define CRANBERRYWOOD_CRANBERRYWOODCTL_STATUS_COMMAND_HPP

#include "cranberrywoodctl/command_line.hpp"

namespace cranberrywood::ctl {

/** Prints the state of VMs; exit code 0 when all answered and are ready. */
int status_command(const words& arguments);

} // namespace cranberrywood::ctl

#endif
