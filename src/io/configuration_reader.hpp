#ifndef CRANBERRYWOOD_IO_CONFIGURATION_READER_HPP
#define CRANBERRYWOOD_IO_CONFIGURATION_READER_HPP

#include "core/commands.hpp"
#include "core/events.hpp"
#include "io/metrics.hpp"
#include "io/process_settings.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace cranberrywood {

/**
 * Reads the configuration service and the VM list on threads of its own, as
 * a watch holds its thread for seconds. One read of each kind runs at a time;
 * a later command replaces one that still waits.
 */
class configuration_reader
{
public:
    /** Hands an event to the node; must not block. */
    using event_sink = std::function<void(event)>;

    configuration_reader(const process_settings& settings, metrics& counts,
                         event_sink to_node);
    ~configuration_reader();
    configuration_reader(const configuration_reader&) = delete;
    configuration_reader& operator=(const configuration_reader&) = delete;

    /** Starts a read or a watch. */
    void read(const read_configuration& command);
    /** Starts a read of the VM list. */
    void read(const read_vm_list& command);

private:
    void run_configuration();
    void run_vm_list();
    void read_now(const read_configuration& command);
    void read_list_now();
    void take_value(const std::string& body);
    void report_unavailable(const std::string& why);

    const endpoint m_configuration;
    const endpoint m_vm_list;
    metrics& m_metrics;
    event_sink m_to_node;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::optional<read_configuration> m_wanted;
    bool m_list_wanted = false;

    /** Last value read; only the configuration thread uses it. */
    std::optional<published_value> m_last;
    std::thread m_configuration_thread;
    std::thread m_list_thread;
};

} // namespace cranberrywood

#endif
