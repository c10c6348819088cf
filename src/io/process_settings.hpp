#ifndef CRANBERRYWOOD_IO_PROCESS_SETTINGS_HPP
#define CRANBERRYWOOD_IO_PROCESS_SETTINGS_HPP

#include "settings/process_file.hpp"
#include "units/endpoint.hpp"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace cranberrywood {

/**
 * What a process knows from its own settings file before it has read any
 * published settings: who it is, where it listens, and whom it can ask.
 */
struct process_settings
{
    std::string name;
    std::string data_centre;
    std::string site;
    endpoint peer;
    endpoint http;
    /** The platform's configuration service. */
    endpoint configuration;
    /** The platform's list of VMs. */
    endpoint vm_list;
    /** Threads that serve callers. */
    std::uint32_t http_threads = 96;
    /** Connections of callers that may wait for a thread. */
    std::uint32_t http_queue = 256;
    /** Addresses of other VMs for the time before settings are accepted. */
    std::map<std::string, endpoint> seeds;
};

/** Mistakes in a settings file, each as `line: section.key: reason`. */
using process_settings_errors = process_file_errors;

/** Reads the text of a process's settings file. */
std::variant<process_settings, process_settings_errors>
read_process_settings(const std::string& text);

} // namespace cranberrywood

#endif
