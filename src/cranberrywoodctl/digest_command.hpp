#ifndef CRANBERRYWOOD_CRANBERRYWOODCTL_DIGEST_COMMAND_HPP
#define CRANBERRYWOOD_CRANBERRYWOODCTL_DIGEST_COMMAND_HPP

#include "cranberrywoodctl/command_line.hpp"

namespace cranberrywood::ctl {

/** Reads a key from standard input and prints its digest for settings. */
int digest_command(const words& arguments);

} // namespace cranberrywood::ctl

#endif
