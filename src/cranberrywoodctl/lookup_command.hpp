#ifndef CRANBERRYWOOD_CRANBERRYWOODCTL_LOOKUP_COMMAND_HPP
#define CRANBERRYWOOD_CRANBERRYWOODCTL_LOOKUP_COMMAND_HPP

#include "cranberrywoodctl/command_line.hpp"

namespace cranberrywood::ctl {

/** Sends one lookup to a VM; exit code 0 when it was answered. */
int lookup_command(const words& arguments);

} // namespace cranberrywood::ctl

#endif
