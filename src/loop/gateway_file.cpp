#include "loop/gateway_file.hpp"

#include <cmath>
#include <sstream>

namespace cranberrywood {

namespace {

constexpr double max_stop_seconds = 3600;
constexpr double max_extra_sends = 1000000;
constexpr double max_extra_send_share = 10;
constexpr double percent = 100.0;
/** A process needs some 20 MB itself. */
constexpr std::uint32_t min_memory_mb = 48;
constexpr std::uint32_t max_memory_mb = 1048576;
/** 200 are reserved for files, and callers, servers and peers need some. */
constexpr std::uint32_t min_open_files = 264;
constexpr std::uint32_t max_open_files = 1048576;

/** Reads the first of the ports of a comma-separated range. */
std::string take_first_port(const std::string& value, std::uint16_t& to)
{
    return take_number(value.substr(0, value.find(',')), max_port, to);
}

std::string take_endpoints(const std::string& value, std::vector<endpoint>& to)
{
    std::istringstream list(value);
    std::string item;
    while (std::getline(list, item, ',')) {
        endpoint read;
        if (auto error = take_endpoint(item, read); !error.empty()) {
            return item.append(" ").append(error);
        }
        to.push_back(read);
    }
    return {};
}

/** Reads a share of the first sends as a whole percentage. */
std::string take_share(const std::string& value, std::uint32_t& to)
{
    double share = 0.0;
    auto error = take_decimal(value, max_extra_send_share, share);
    if (error.empty()) {
        to = static_cast<std::uint32_t>(std::floor(share * percent + 1e-9));
    }
    return error;
}

std::string take_seconds(const std::string& value, duration& to)
{
    double seconds = 0.0;
    auto error = take_decimal(value, max_stop_seconds, seconds);
    if (error.empty()) {
        to = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(seconds));
    }
    return error;
}

std::string take_data_centres(const std::string& value,
                              std::vector<data_centre_id>& to)
{
    std::istringstream list(value);
    std::string item;
    while (std::getline(list, item, ',')) {
        std::string name;
        if (auto error = take_name(item, name); !error.empty()) {
            return error;
        }
        to.push_back(id_of<data_centre_id>(name));
    }
    return {};
}

std::string take_limit(const std::string& value, std::uint32_t least,
                       std::uint32_t most, std::optional<std::uint32_t>& to)
{
    std::uint32_t number = 0;
    if (!take_number(value, most, number).empty() || number < least) {
        return "must be a number from " + std::to_string(least) + " to " +
               std::to_string(most);
    }
    to = number;
    return {};
}

std::string take_flag(const std::string& value, bool& to)
{
    if (value != "true" && value != "false") {
        return "must be true or false";
    }
    to = value == "true";
    return {};
}

process_file_keys keys_of(gateway_file& f)
{
    process_file_keys keys;
    fleet_origin& origin = f.decisions.member.origin;
    keys.required = {
        {"vm.name", [&](auto& v) { return take_name(v, f.name); }},
        {"vm.data_centre",
         [&](auto& v) { return take_name(v, f.data_centre); }},
        {"vm.host", [&](auto& v) { return take_host(v, f.host); }},
        {"listen.callers",
         [&](auto& v) { return take_endpoint(v, f.callers); }},
        {"listen.ready", [&](auto& v) { return take_endpoint(v, f.ready); }},
        {"listen.control",
         [&](auto& v) { return take_endpoint(v, f.control); }},
        {"peers.ports",
         [&](auto& v) { return take_first_port(v, f.peer_port); }},
        {"store.address", [&](auto& v) { return take_endpoint(v, f.store); }},
    };
    keys.optional = {
        {"vm.data_centres",
         [&](auto& v) { return take_data_centres(v, origin.data_centres); }},
        {"vm.first_start",
         [&](auto& v) { return take_flag(v, origin.first_start); }},
        {"peers.seeds", [&](auto& v) { return take_endpoints(v, f.seeds); }},
        {"extra_sends.share",
         [&](auto& v) {
             return take_share(v, f.decisions.extra_send_percent);
         }},
        {"extra_sends.saved",
         [&](auto& v) {
             return take_decimal(v, max_extra_sends,
                                 f.decisions.extra_send_allowance);
         }},
        {"extra_sends.first_start",
         [&](auto& v) { return take_flag(v, origin.first_start); }},
        {"stop.within_s",
         [&](auto& v) { return take_seconds(v, f.stop_within); }},
        {"limits.memory_mb",
         [&](auto& v) {
             return take_limit(v, min_memory_mb, max_memory_mb, f.memory_mb);
         }},
        {"limits.open_files",
         [&](auto& v) {
             return take_limit(v, min_open_files, max_open_files, f.open_files);
         }},
    };
    return keys;
}

} // namespace

std::variant<gateway_file, process_file_errors>
read_gateway_file(const std::string& text)
{
    gateway_file file;
    process_file_errors errors = read_process_file(text, keys_of(file));
    if (!errors.empty()) {
        return errors;
    }
    member_identity& member = file.decisions.member;
    member.origin.data_centre = id_of<data_centre_id>(file.data_centre);
    member.self = to_string(endpoint{file.host, file.peer_port});
    for (const endpoint& seed : file.seeds) {
        member.seeds.push_back(to_string(endpoint{seed.host, file.peer_port}));
    }
    return file;
}

} // namespace cranberrywood
