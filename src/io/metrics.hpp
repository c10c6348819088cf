#ifndef CRANBERRYWOOD_IO_METRICS_HPP
#define CRANBERRYWOOD_IO_METRICS_HPP

#include "core/node_status.hpp"
#include "core/results.hpp"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <string>

namespace cranberrywood {

/**
 * Metrics of a process in Prometheus's form. The counters of links and of the
 * HTTP front are counted here; the node's own come from its status. Safe on
 * every thread.
 */
class metrics
{
    // Initialised before the counters, which live in it.
    prometheus::Registry m_registry;

public:
    metrics();

    /** Counts an answer to a caller and the time that it took. */
    void answered_caller(const std::string& outcome, const std::string& reason,
                         std::chrono::nanoseconds took);

    /** Returns all metrics as text; takes the node's from its status. */
    std::string text(const node_status& status);

    /** Messages to other VMs that were dropped because a link was full. */
    prometheus::Counter& peer_messages_dropped;
    /** Frames from other VMs that were refused. */
    prometheus::Counter& peer_frames_refused;
    /** Bytes sent to other VMs. */
    prometheus::Counter& peer_sent_bytes;
    /** Frames from backend servers that were refused. */
    prometheus::Counter& backend_frames_refused;
    /** Connections of callers that were refused because the queue was full. */
    prometheus::Counter& callers_refused;
    /** Callers that closed their connection before they were answered. */
    prometheus::Counter& callers_gone;
    /** Reads of the configuration service and the VM list. */
    prometheus::Counter& platform_reads;

private:
    prometheus::Family<prometheus::Counter>& m_answers;
    prometheus::Family<prometheus::Histogram>& m_durations;
};

} // namespace cranberrywood

#endif
