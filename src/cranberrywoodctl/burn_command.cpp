#include "cranberrywoodctl/burn_command.hpp"

#include "cranberrywoodctl/burn_page.hpp"
#include "cranberrywoodctl/check_command.hpp"
#include "cranberrywoodctl/vm_client.hpp"

#include <fstream>
#include <iostream>

namespace cranberrywood::ctl {

namespace {

constexpr std::chrono::milliseconds status_timeout{2000};

/** Adds one VM's levels; tells on standard error when there are none. */
bool add_vm(const std::string& vm, burn_report& report)
{
    vm_client client(vm, status_timeout);
    const vm_result result = client.get("/status");
    if (const auto* unreachable = std::get_if<vm_unreachable>(&result)) {
        std::cerr << vm << ": " << unreachable->why << '\n';
        return false;
    }
    if (!report.add_status(std::get<vm_answer>(result).body)) {
        std::cerr << vm << ": /status has no service levels\n";
        return false;
    }
    return true;
}

bool use_base(const std::string& path, burn_report& report)
{
    const value_files files(path);
    if (!print_errors(files)) {
        return false;
    }
    const auto result = read_settings(files.value());
    const auto& sites = std::get<accepted_settings>(result).sites;
    report.use_levels(*sites.begin()->second);
    return true;
}

bool write_page(const std::string& path, const std::vector<burn_row>& rows)
{
    std::ofstream file(path);
    file << burn_page(rows);
    file.close();
    if (!file) {
        std::cerr << path << ": cannot be written\n";
        return false;
    }
    return true;
}

} // namespace

int burn_command(const words& arguments)
{
    TCLAP::CmdLine line("Reports how fast each workspace's requests to each "
                        "service use up the error budgets of the service "
                        "levels. Ends with 1 when a VM did not answer.");
    TCLAP::ValueArg<std::string> base(
        "", "settings", "Base file with the service levels; else defaults",
        false, "", "BASE", line);
    TCLAP::ValueArg<std::string> html("", "html", "Write a page to this file",
                                      false, "", "FILE", line);
    TCLAP::SwitchArg as_json("", "json", "Print the report as JSON", line);
    TCLAP::UnlabeledMultiArg<std::string> vms("vms", "Addresses of VMs", true,
                                              "HOST:PORT", line);
    if (const auto code = parse(line, arguments)) {
        return *code;
    }
    burn_report report;
    if (base.isSet() && !use_base(base.getValue(), report)) {
        return exit_no;
    }
    bool whole = true;
    for (const auto& vm : vms.getValue()) {
        whole = add_vm(vm, report) && whole;
    }
    const auto rows = report.rows();
    std::cout << (as_json.getValue() ? burn_json(rows) : burn_text(rows));
    if (html.isSet()) {
        whole = write_page(html.getValue(), rows) && whole;
    }
    return whole ? exit_ok : exit_no;
}

} // namespace cranberrywood::ctl
