#ifndef CRANBERRYWOOD_CRANBERRYWOODCTL_LOAD_COMMAND_HPP
#define CRANBERRYWOOD_CRANBERRYWOODCTL_LOAD_COMMAND_HPP

#include "cranberrywoodctl/command_line.hpp"

namespace cranberrywood::ctl {

/** Sends queries at a fixed rate, whatever the answers do, and reports. */
int load_command(const words& arguments);

} // namespace cranberrywood::ctl

#endif
