#ifndef CRANBERRYWOOD_CRANBERRYWOODCTL_CHECK_COMMAND_HPP
#define CRANBERRYWOOD_CRANBERRYWOODCTL_CHECK_COMMAND_HPP

#include "cranberrywoodctl/command_line.hpp"
#include "cranberrywoodctl/value_files.hpp"

namespace cranberrywood::ctl {

/** Checks a base file and overlays as every VM would; exit code 0 or 1. */
int check_command(const words& arguments);

/** Prints what is wrong with the files to standard error; true if nothing. */
bool print_errors(const value_files& files);

} // namespace cranberrywood::ctl

#endif
