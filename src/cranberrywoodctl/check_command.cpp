#include "cranberrywoodctl/check_command.hpp"

#include <iostream>

namespace cranberrywood::ctl {

namespace {

void print_summary(const value_files& files)
{
    const auto result = read_settings(files.value());
    const auto& accepted = std::get<accepted_settings>(result);
    std::cout << "accepted: " << accepted.sites.size() << " sites, "
              << files.value().overlays.size() << " overlays\n";
}

} // namespace

bool print_errors(const value_files& files)
{
    for (const auto& path : files.unreadable()) {
        std::cerr << path << ": cannot be read\n";
    }
    if (!files.unreadable().empty()) {
        return false;
    }
    const auto result = read_settings(files.value());
    const auto* errors = std::get_if<std::vector<settings_error>>(&result);
    if (errors == nullptr) {
        return true;
    }
    for (const auto& error : *errors) {
        std::cerr << files.with_path(error.text()) << '\n';
    }
    return false;
}

int check_command(const words& arguments)
{
    TCLAP::CmdLine line("Checks a base file and its overlays. Prints every "
                        "mistake as file:line: section.key: reason.");
    TCLAP::ValueArg<std::string> site(
        "", "site", "Site of the only overlay; else the file's name tells it",
        false, "", "SITE", line);
    TCLAP::UnlabeledValueArg<std::string> base("base", "Base file", true, "",
                                               "BASE", line);
    TCLAP::UnlabeledMultiArg<std::string> overlays("overlays", "Overlay files",
                                                   false, "OVERLAY", line);
    if (const auto code = parse(line, arguments)) {
        return *code;
    }
    if (site.isSet() && overlays.getValue().size() != 1) {
        std::cerr << "check: --site needs exactly one overlay\n";
        return exit_usage;
    }
    value_files files(base.getValue());
    for (const auto& path : overlays.getValue()) {
        files.add_overlay(path,
                          site.isSet() ? site.getValue() : site_of_path(path));
    }
    if (!print_errors(files)) {
        return exit_no;
    }
    print_summary(files);
    return exit_ok;
}

} // namespace cranberrywood::ctl
