#include "cranberrywoodctl/command_line.hpp"

#include <iostream>

namespace cranberrywood::ctl {

namespace {

bool is_flag(const std::string& word)
{
    return word.size() > 1 && word.front() == '-';
}

/** Returns the option that a word names, or null when none has the name. */
TCLAP::Arg* option_of(TCLAP::CmdLine& line, const std::string& word)
{
    for (auto* option : line.getArgList()) {
        if (option->argMatches(word)) {
            return option;
        }
    }
    return nullptr;
}

/** Returns the first flag that names no option; empty when there is none. */
std::string unknown_flag(TCLAP::CmdLine& line, const words& arguments)
{
    for (std::size_t i = 1; i < arguments.size(); ++i) {
        if (!is_flag(arguments[i])) {
            continue;
        }
        if (arguments[i] == "--") {
            return {};
        }
        const TCLAP::Arg* option = option_of(line, arguments[i]);
        if (option == nullptr) {
            return arguments[i];
        }
        i += option->isValueRequired() ? 1 : 0;
    }
    return {};
}

} // namespace

// TCLAP takes an unknown flag for a file or an address where it takes many.
std::optional<int> parse(TCLAP::CmdLine& line, words arguments)
{
    const std::string unknown = unknown_flag(line, arguments);
    if (!unknown.empty()) {
        std::cerr << arguments.front() << ": unknown option " << unknown
                  << '\n';
        return exit_usage;
    }
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
