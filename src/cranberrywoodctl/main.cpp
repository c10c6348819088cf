#include "cranberrywoodctl/burn_command.hpp"
#include "cranberrywoodctl/check_command.hpp"
#include "cranberrywoodctl/digest_command.hpp"
#include "cranberrywoodctl/effective_command.hpp"
#include "cranberrywoodctl/explain_command.hpp"
#include "cranberrywoodctl/load_command.hpp"
#include "cranberrywoodctl/lookup_command.hpp"
#include "cranberrywoodctl/query_command.hpp"
#include "cranberrywoodctl/reference_command.hpp"
#include "cranberrywoodctl/status_command.hpp"

#include <iostream>

namespace {

using namespace cranberrywood::ctl;

struct command
{
    const char* name;
    int (*run)(const words& arguments);
    const char* meaning;
};

const std::vector<command> commands = {
    {"check", check_command, "check a base file and its overlays"},
    {"effective", effective_command, "print a site's settings with origins"},
    {"reference", reference_command, "print the tables of settings keys"},
    {"digest", digest_command, "print the digest of a workspace's key"},
    {"query", query_command, "send a query"},
    {"lookup", lookup_command, "send a lookup, which runs at most once"},
    {"load", load_command, "send queries at a fixed rate and report"},
    {"status", status_command, "print the state of VMs"},
    {"burn", burn_command, "report the burn of service levels"},
    {"explain", explain_command, "print what logs say of a request"},
};

void print_usage(std::ostream& out)
{
    out << "usage: cranberrywoodctl COMMAND [ARGUMENT...]\n";
    for (const auto& known : commands) {
        out << "  " << known.name << "\t" << known.meaning << '\n';
    }
    out << "cranberrywoodctl COMMAND --help prints a command's arguments\n";
}

} // namespace

int main(int argc, char** argv)
{
    const words arguments(argv + 1, argv + argc);
    if (arguments.empty()) {
        print_usage(std::cerr);
        return exit_usage;
    }
    for (const auto& known : commands) {
        if (arguments.front() == known.name) {
            return known.run(arguments);
        }
    }
    const bool help = arguments.front() == "--help";
    print_usage(help ? std::cout : std::cerr);
    return help ? exit_ok : exit_usage;
}
