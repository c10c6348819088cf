#ifndef CRANBERRYWOOD_CRANBERRYWOODCTL_EXPLAIN_COMMAND_HPP
#define CRANBERRYWOOD_CRANBERRYWOODCTL_EXPLAIN_COMMAND_HPP

#include "cranberrywoodctl/command_line.hpp"

namespace cranberrywood::ctl {

/** Prints what the logs of VMs say of one request, in order. */
int explain_command(const words& arguments);

} // namespace cranberrywood::ctl

#endif
