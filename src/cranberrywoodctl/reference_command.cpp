#include "cranberrywoodctl/reference_command.hpp"

#include "settings/key_description.hpp"

#include <iostream>

namespace cranberrywood::ctl {

int reference_command(const words& arguments)
{
    TCLAP::CmdLine line("Prints the tables of all settings keys as Markdown.");
    if (const auto code = parse(line, arguments)) {
        return *code;
    }
    std::cout << settings_reference();
    return exit_ok;
}

} // namespace cranberrywood::ctl
