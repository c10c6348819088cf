#ifndef CRANBERRYWOOD_CRANBERRYWOODCTL_QUERY_COMMAND_HPP
#define CRANBERRYWOOD_CRANBERRYWOODCTL_QUERY_COMMAND_HPP

#include "cranberrywoodctl/command_line.hpp"

namespace cranberrywood::ctl {

/** Sends one query to a VM; exit code 0 when it was answered. */
int query_command(const words& arguments);

} // namespace cranberrywood::ctl

#endif
