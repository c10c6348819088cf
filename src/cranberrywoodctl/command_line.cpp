#include "cranberrywoodctl/command_line.hpp"

#include <iostream>

namespace cranberrywood::ctl {

std::optional<int> parse(TCLAP::CmdLine& line, words arguments)
{
    line.setExceptionHandling(false);
    try {
        line.parse(arguments);
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException& error) {
        std::cerr << arguments.front() << ": " << error.error() << " ("
                  << error.argId() << ")\n";
        return exit_usage;
    }
    return std::nullopt;
}

} // namespace cranberrywood::ctl
