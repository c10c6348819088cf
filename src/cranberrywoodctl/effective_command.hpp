#ifndef CRANBERRYWOOD_CRANBERRYWOODCTL_EFFECTIVE_COMMAND_HPP
#define CRANBERRYWOOD_CRANBERRYWOODCTL_EFFECTIVE_COMMAND_HPP

#include "cranberrywoodctl/command_line.hpp"

namespace cranberrywood::ctl {

/** Prints a site's effective settings, each field with its origin. */
int effective_command(const words& arguments);

} // namespace cranberrywood::ctl

#endif
