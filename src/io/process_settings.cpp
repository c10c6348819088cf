#include "io/process_settings.hpp"

namespace cranberrywood {

namespace {

constexpr std::uint32_t max_http_threads = 1024;
constexpr std::uint32_t max_http_queue = 65536;

process_file_keys keys_of(process_settings& s)
{
    process_file_keys keys;
    keys.required = {
        {"vm.name", [&](auto& v) { return take_name(v, s.name); }},
        {"vm.data_centre",
         [&](auto& v) { return take_name(v, s.data_centre); }},
        {"vm.site", [&](auto& v) { return take_name(v, s.site); }},
        {"vm.host", [&](auto& v) { return take_host(v, s.peer.host); }},
        {"vm.peer_port",
         [&](auto& v) { return take_number(v, max_port, s.peer.port); }},
        {"vm.http_port",
         [&](auto& v) { return take_number(v, max_port, s.http.port); }},
        {"platform.configuration",
         [&](auto& v) { return take_endpoint(v, s.configuration); }},
        {"platform.vm_list",
         [&](auto& v) { return take_endpoint(v, s.vm_list); }},
    };
    keys.optional = {
        {"http.threads",
         [&](auto& v) {
             return take_number(v, max_http_threads, s.http_threads);
         }},
        {"http.queue",
         [&](auto& v) { return take_number(v, max_http_queue, s.http_queue); }},
    };
    keys.open_sections = {{"seeds", [&](auto& name, auto& v) {
                               return take_endpoint(v, s.seeds[name]);
                           }}};
    return keys;
}

} // namespace

std::variant<process_settings, process_settings_errors>
read_process_settings(const std::string& text)
{
    process_settings settings;
    process_settings_errors errors = read_process_file(text, keys_of(settings));
    if (!errors.empty()) {
        return errors;
    }
    settings.http.host = settings.peer.host;
    return settings;
}

} // namespace cranberrywood
