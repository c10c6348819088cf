#ifndef CRANBERRYWOOD_LOOP_GATEWAY_FILE_HPP
#define CRANBERRYWOOD_LOOP_GATEWAY_FILE_HPP

#include "core/gateway_settings.hpp"
#include "settings/process_file.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cranberrywood {

/** What a process that runs a gateway knows from its own settings file. */
struct gateway_file
{
    std::string name;
    std::string data_centre;
    std::string host;
    /** Where callers connect. */
    endpoint callers;
    /** Where the balancer asks whether the VM is ready. */
    endpoint ready;
    /** Where operators and other VMs ask. */
    endpoint control;
    std::uint16_t peer_port = 0;
    /** Control addresses of VMs that may know others. */
    std::vector<endpoint> seeds;
    endpoint store;
    /** Time from the request to stop until the process is killed. */
    duration stop_within = std::chrono::seconds(6);
    /** Memory of the VM; without it the limits of single parts hold. */
    std::optional<std::uint32_t> memory_mb;
    /** File descriptors of the VM, likewise. */
    std::optional<std::uint32_t> open_files;
    gateway_settings decisions;
};

/** Reads the text of a settings file. */
std::variant<gateway_file, process_file_errors>
read_gateway_file(const std::string& text);

} // namespace cranberrywood

#endif
