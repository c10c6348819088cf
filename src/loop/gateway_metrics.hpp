#ifndef CRANBERRYWOOD_LOOP_GATEWAY_METRICS_HPP
#define CRANBERRYWOOD_LOOP_GATEWAY_METRICS_HPP

#include "core/gateway_messages.hpp"
#include "loop/caller_front.hpp"
#include "loop/connection_counts.hpp"

#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include <map>
#include <optional>
#include <string>

namespace cranberrywood {

/** State of a VM at the time at which its metrics are read. */
struct gateway_state
{
    std::uint64_t settings_version = 0;
    std::uint32_t vms = 0;
    /** Share of each fleet-wide limit that the known VMs divide. */
    double limits_share = 1.0;
    std::size_t backend_servers = 0;
    std::size_t open_requests = 0;
    std::size_t relayed_sends = 0;
    std::size_t caller_connections = 0;
    std::size_t idle_server_connections = 0;
    connection_counts server_connections;
    bool ready = false;
    /** Time from the start of the process until it was first ready. */
    std::optional<duration> ready_seconds;
    bool reaches_servers = false;
    /** Bytes held by account; null: not known. */
    const memory_ledger* memory = nullptr;
    closed_connections closed;
    std::size_t descriptors = 0;
    std::size_t open_server_connections = 0;
    std::size_t max_caller_connections = 0;
    std::size_t log_lines_dropped = 0;
    /** Log events written, by number. */
    std::map<std::uint32_t, std::uint64_t> events;
};

/** Metrics of a gateway's process in Prometheus's text form. */
class gateway_metrics
{
    // Initialised before the counters, which live in it.
    prometheus::Registry m_registry;

public:
    gateway_metrics();

    /** Counts an answer to a caller by its outcome and reason. */
    void answered(const gateway_answer& answer);

    /** Returns all metrics as text. */
    std::string text(const gateway_state& state);

private:
    prometheus::Family<prometheus::Counter>& m_answers;
};

} // namespace cranberrywood

#endif
