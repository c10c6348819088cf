#include "io/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace cranberrywood {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

const prometheus::Histogram::BucketBoundaries duration_buckets = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.32, 0.5, 1, 2, 5, 10};

prometheus::Counter& make_counter(prometheus::Registry& registry,
                                  const char* name, const char* help)
{
    return prometheus::BuildCounter()
        .Name(std::string("cranberrywood_") + name)
        .Help(help)
        .Register(registry)
        .Add({});
}

MetricFamily family(const std::string& name, MetricType type, double value)
{
    MetricFamily result;
    result.name = "cranberrywood_" + name;
    result.type = type;
    ClientMetric metric;
    if (type == MetricType::Counter) {
        metric.counter.value = value;
    } else {
        metric.gauge.value = value;
    }
    result.metric.push_back(metric);
    return result;
}

void append_status(const node_status& status, std::vector<MetricFamily>& to)
{
    const auto gauge = [&](const char* name, double value) {
        to.push_back(family(name, MetricType::Gauge, value));
    };
    gauge("settings_revision", static_cast<double>(status.revision.value()));
    gauge("view_confirmed", status.view_confirmed ? 1 : 0);
    gauge("ready", status.ready ? 1 : 0);
    gauge("groups_held", status.groups_held);
    gauge("requests_in_flight", status.requests_in_flight);
    for (const auto& [name, count] : status.counters) {
        to.push_back(
            family(name, MetricType::Counter, static_cast<double>(count)));
    }
}

} // namespace

metrics::metrics()
    : peer_messages_dropped(
          make_counter(m_registry, "peer_messages_dropped_total",
                       "Messages to other VMs dropped at a full link")),
      peer_frames_refused(make_counter(m_registry, "peer_frames_refused_total",
                                       "Frames from other VMs refused")),
      peer_sent_bytes(make_counter(m_registry, "peer_sent_bytes_total",
                                   "Bytes sent to other VMs")),
      backend_frames_refused(
          make_counter(m_registry, "backend_frames_refused_total",
                       "Frames from backend servers refused")),
      callers_refused(
          make_counter(m_registry, "callers_refused_total",
                       "Connections of callers refused at a full queue")),
      callers_gone(make_counter(m_registry, "callers_gone_total",
                                "Callers gone before their answer")),
      platform_reads(make_counter(m_registry, "platform_reads_total",
                                  "Reads of configuration and VM list")),
      m_answers(prometheus::BuildCounter()
                    .Name("cranberrywood_answers_total")
                    .Help("Answers to callers by outcome and reason")
                    .Register(m_registry)),
      m_durations(prometheus::BuildHistogram()
                      .Name("cranberrywood_answer_duration_seconds")
                      .Help("Time from a request's arrival to its answer")
                      .Register(m_registry))
{
}

void metrics::answered_caller(const std::string& outcome,
                              const std::string& reason,
                              std::chrono::nanoseconds took)
{
    m_answers.Add({{"outcome", outcome}, {"reason", reason}}).Increment();
    const std::chrono::duration<double> seconds = took;
    m_durations.Add({{"outcome", outcome}}, duration_buckets)
        .Observe(seconds.count());
}

std::string metrics::text(const node_status& status)
{
    std::vector<MetricFamily> families = m_registry.Collect();
    append_status(status, families);
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace cranberrywood
