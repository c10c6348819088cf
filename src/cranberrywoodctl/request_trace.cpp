#include "cranberrywoodctl/request_trace.hpp"

#include "core/log_codes.hpp"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <map>
#include <set>
#include <sstream>

namespace cranberrywood::ctl {

namespace {

/** Time before the request's first event from which servers' events count. */
constexpr std::time_t server_window_s = 15;

constexpr std::uint32_t number(log_code code)
{
    return static_cast<std::uint32_t>(code);
}

/**
 * Events that say what a VM believes; of each, the last one before a request
 * tells what was in force. Events of one group replace each other.
 */
const std::map<std::uint32_t, int>& state_groups()
{
    static const std::map<std::uint32_t, int> groups = {
        {number(log_code::node_started), 0},
        {number(log_code::node_leaving), 1},
        {number(log_code::revision_accepted), 2},
        {number(log_code::configuration_unavailable), 3},
        {number(log_code::configuration_answered), 3},
        {number(log_code::store_source_changed), 4},
        {number(log_code::store_restored), 5},
        {number(log_code::fleet_size_changed), 6},
        {number(log_code::server_links_changed), 7},
    };
    return groups;
}

/** Returns seconds since 1970; 0 if the text is no time. */
std::time_t seconds_of(const std::string& time)
{
    std::tm parts{};
    std::istringstream text(time);
    text >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
    return text.fail() ? 0 : timegm(&parts);
}

/** Adds the servers that an event names, alone or in a list of sends. */
void add_servers(const log_line& line, std::set<std::string>& servers)
{
    if (const auto server = line.field("server")) {
        servers.insert(*server);
    }
    const std::string sends = line.field("unanswered").value_or("");
    std::size_t at = 0;
    while ((at = sends.find_first_of("[,", at)) != std::string::npos) {
        const std::size_t end = sends.find_first_of("@,]", at + 1);
        if (end != std::string::npos && sends[end] == '@') {
            servers.insert(sends.substr(at + 1, end - at - 1));
        }
        ++at;
    }
}

/** Returns whether a VM found out something that it was not told. */
bool is_own_finding(const log_line& line)
{
    return line.field("by") == "self";
}

} // namespace

const char* name_of(relevance why)
{
    switch (why) {
    case relevance::request:
        return "request";
    case relevance::server:
        return "server";
    case relevance::vm_state:
        return "vm";
    }
    return "";
}

std::vector<trace_entry> trace_of(const std::string& request,
                                  std::vector<log_line> lines)
{
    std::stable_sort(
        lines.begin(), lines.end(),
        [](const log_line& a, const log_line& b) { return a.time < b.time; });
    std::vector<trace_entry> entries;
    std::set<std::string> servers;
    std::set<std::string> vms;
    for (const log_line& line : lines) {
        if (line.field("request") == request) {
            entries.push_back({relevance::request, line});
            vms.insert(line.vm);
            add_servers(line, servers);
        }
    }
    if (entries.empty()) {
        return entries;
    }
    const std::string first = entries.front().line.time;
    const std::string last = entries.back().line.time;
    const std::time_t from = seconds_of(first) - server_window_s;
    std::map<std::pair<std::string, int>, log_line> states;
    for (const log_line& line : lines) {
        if (line.time > last || line.field("request") == request) {
            continue;
        }
        const auto group = state_groups().find(line.code);
        const auto server = line.field("server");
        if (group != state_groups().end() && vms.count(line.vm) != 0) {
            states[{line.vm, group->second}] = line;
        } else if (server && servers.count(*server) != 0 &&
                   seconds_of(line.time) >= from &&
                   (vms.count(line.vm) != 0 || is_own_finding(line))) {
            entries.push_back({relevance::server, line});
        }
    }
    for (const auto& [key, line] : states) {
        entries.push_back({relevance::vm_state, line});
    }
    std::stable_sort(entries.begin(), entries.end(),
                     [](const trace_entry& a, const trace_entry& b) {
                         return a.line.time < b.line.time;
                     });
    return entries;
}

} // namespace cranberrywood::ctl
