#ifndef CRANBERRYWOOD_CRANBERRYWOODCTL_REFERENCE_COMMAND_HPP
#define CRANBERRYWOOD_CRANBERRYWOODCTL_REFERENCE_COMMAND_HPP

#include "cranberrywoodctl/command_line.hpp"

namespace cranberrywood::ctl {

/** Prints the tables of all settings keys as Markdown. */
int reference_command(const words& arguments);

} // namespace cranberrywood::ctl

#endif
