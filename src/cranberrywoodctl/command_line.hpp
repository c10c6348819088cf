#ifndef CRANBERRYWOOD_CRANBERRYWOODCTL_COMMAND_LINE_HPP
#define CRANBERRYWOOD_CRANBERRYWOODCTL_COMMAND_LINE_HPP

#include <tclap/CmdLine.h>

#include <optional>
#include <string>
#include <vector>

namespace cranberrywood::ctl {

/** Exit codes of every command. */
constexpr int exit_ok = 0;
/** The command ran and its answer is no. */
constexpr int exit_no = 1;
/** The command line is wrong. */
constexpr int exit_usage = 2;

/** Words of a command line: the command's name and its arguments. */
using words = std::vector<std::string>;

/**
 * Parses the arguments of a command. Returns the exit code when there is
 * nothing left to do: help was printed, or the arguments are wrong.
 */
std::optional<int> parse(TCLAP::CmdLine& line, words arguments);

} // namespace cranberrywood::ctl

#endif
