#include "cranberrywoodctl/explain_command.hpp"

#include "cranberrywoodctl/request_trace.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>

namespace cranberrywood::ctl {

namespace {

void read_lines(std::istream& from, std::vector<log_line>& to)
{
    std::string text;
    while (std::getline(from, text)) {
        if (auto line = read_log_line(text)) {
            to.push_back(std::move(*line));
        }
    }
}

/** Reads the events of files; `-` stands for standard input. */
bool read_files(const std::vector<std::string>& files,
                std::vector<log_line>& lines)
{
    for (const std::string& file : files) {
        if (file == "-") {
            read_lines(std::cin, lines);
            continue;
        }
        std::ifstream stream(file);
        if (!stream) {
            std::cerr << "explain: cannot read " << file << '\n';
            return false;
        }
        read_lines(stream, lines);
    }
    return true;
}

void print_text(const std::vector<trace_entry>& entries)
{
    for (const trace_entry& entry : entries) {
        std::cout << entry.line.time << ' ' << entry.line.vm << " CW"
                  << entry.line.code << ' ' << name_of(entry.why) << ':';
        for (const auto& [key, value] : entry.line.fields) {
            const bool quoted = value.find(' ') != std::string::npos;
            const char* quote = quoted ? "\"" : "";
            std::cout << ' ' << key << '=' << quote << value << quote;
        }
        std::cout << '\n';
    }
}

void print_json(const std::vector<trace_entry>& entries)
{
    nlohmann::json all = nlohmann::json::array();
    for (const trace_entry& entry : entries) {
        nlohmann::json fields = nlohmann::json::object();
        for (const auto& [key, value] : entry.line.fields) {
            fields[key] = value;
        }
        all.push_back({{"time", entry.line.time},
                       {"vm", entry.line.vm},
                       {"event", entry.line.code},
                       {"about", name_of(entry.why)},
                       {"fields", fields}});
    }
    std::cout << all.dump(2) << '\n';
}

} // namespace

int explain_command(const words& arguments)
{
    TCLAP::CmdLine line(
        "Prints what the logs of VMs say of one request, in the order of their "
        "times: the events that name it, those on its backend servers in the "
        "15 s before, and the last state of the VMs that took it. Clocks of "
        "VMs may differ. Exits with 1 if no event names the request.");
    TCLAP::SwitchArg json("j", "json", "Print a JSON array", line);
    TCLAP::UnlabeledValueArg<std::string> request(
        "request", "Request id as callers send it", true, "", "REQUEST-ID",
        line);
    TCLAP::UnlabeledMultiArg<std::string> files(
        "files", "Logs of VMs; - is standard input", true, "FILE", line);
    if (const auto code = parse(line, arguments)) {
        return *code;
    }
    std::vector<log_line> lines;
    if (!read_files(files.getValue(), lines)) {
        return exit_usage;
    }
    const auto entries = trace_of(request.getValue(), lines);
    if (entries.empty()) {
        std::cerr << "explain: none of " << lines.size()
                  << " events names request " << request.getValue()
                  << "; requests that are served in full are not logged\n";
        return exit_no;
    }
    if (json.getValue()) {
        print_json(entries);
    } else {
        print_text(entries);
    }
    return exit_ok;
}

} // namespace cranberrywood::ctl
