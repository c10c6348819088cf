#include "cranberrywoodctl/effective_command.hpp"

#include "cranberrywoodctl/check_command.hpp"

#include <iostream>

namespace cranberrywood::ctl {

namespace {

void print_fields(const value_files& files, const std::string& site)
{
    std::string section;
    for (const auto& field : effective_fields(files.value(), site)) {
        if (field.section != section) {
            std::cout << (section.empty() ? "" : "\n") << '[' << field.section
                      << "]\n";
            section = field.section;
        }
        std::cout << field.key << " = " << field.value << " ; "
                  << files.with_path(field.origin) << '\n';
    }
}

} // namespace

int effective_command(const words& arguments)
{
    TCLAP::CmdLine line("Prints the effective settings of an overlay's site, "
                        "each field with the file and line that set it.");
    TCLAP::ValueArg<std::string> site(
        "", "site", "Site of the overlay; else the file's name tells it", false,
        "", "SITE", line);
    TCLAP::UnlabeledValueArg<std::string> base("base", "Base file", true, "",
                                               "BASE", line);
    TCLAP::UnlabeledValueArg<std::string> overlay("overlay", "Overlay file",
                                                  true, "", "OVERLAY", line);
    if (const auto code = parse(line, arguments)) {
        return *code;
    }
    const std::string name =
        site.isSet() ? site.getValue() : site_of_path(overlay.getValue());
    value_files files(base.getValue());
    files.add_overlay(overlay.getValue(), name);
    if (!print_errors(files)) {
        return exit_no;
    }
    print_fields(files, name);
    return exit_ok;
}

} // namespace cranberrywood::ctl
