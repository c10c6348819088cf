#include "loop/gateway_metrics.hpp"

#include <prometheus/text_serializer.h>

#include <utility>

namespace cranberrywood {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

constexpr const char* prefix = "cranberrywood_";
constexpr unsigned first_failure = 500;

struct answer_labels
{
    const char* outcome;
    const char* reason;
};

// Neither statuses of servers nor numbers of missing parts are labels, so that
// their number is bounded.
answer_labels labels_of(const gateway_answer& answer)
{
    struct visitor
    {
        answer_labels operator()(const relayed_answer& a) const
        {
            return a.message->status < first_failure
                       ? answer_labels{"served", "relayed"}
                       : answer_labels{"failed", "server_status"};
        }
        answer_labels operator()(const gathered_answer& a) const
        {
            return {a.missing == 0 ? "served" : "partial", "gathered"};
        }
        answer_labels operator()(const refused_answer& a) const
        {
            return {"refused", name_of(a.why)};
        }
        answer_labels operator()(const failed_answer& a) const
        {
            return {"failed", name_of(a.why)};
        }
    };
    return std::visit(visitor{}, answer);
}

MetricFamily gauge(const char* name, const char* help, double value)
{
    MetricFamily family;
    family.name = prefix + std::string(name);
    family.help = help;
    family.type = MetricType::Gauge;
    ClientMetric metric;
    metric.gauge.value = value;
    family.metric.push_back(metric);
    return family;
}

MetricFamily
event_counters(const std::map<std::uint32_t, std::uint64_t>& events)
{
    MetricFamily family;
    family.name = prefix + std::string("log_events_total");
    family.help = "Log events written, by number.";
    family.type = MetricType::Counter;
    for (const auto& [code, count] : events) {
        ClientMetric metric;
        metric.label.push_back({"event", std::to_string(code)});
        metric.counter.value = static_cast<double>(count);
        family.metric.push_back(metric);
    }
    return family;
}

MetricFamily counter(const char* name, const char* help, std::uint64_t count)
{
    MetricFamily family;
    family.name = prefix + std::string(name);
    family.help = help;
    family.type = MetricType::Counter;
    ClientMetric metric;
    metric.counter.value = static_cast<double>(count);
    family.metric.push_back(metric);
    return family;
}

MetricFamily server_connections_closed(const connection_counts& counts)
{
    MetricFamily family;
    family.name = prefix + std::string("server_connections_closed_total");
    family.help = "Connections to backend servers closed, by reason.";
    family.type = MetricType::Counter;
    for (std::size_t i = 0; i < close_reasons; ++i) {
        const auto reason = static_cast<close_reason>(i);
        ClientMetric metric;
        metric.label.push_back({"reason", name_of(reason)});
        metric.counter.value = static_cast<double>(counts.closed_for(reason));
        family.metric.push_back(metric);
    }
    return family;
}

MetricFamily memory_accounts(const memory_ledger& memory)
{
    MetricFamily family;
    family.name = prefix + std::string("held_bytes");
    family.help = "Bytes held for others, by account.";
    family.type = MetricType::Gauge;
    for (std::size_t i = 0; i < memory_ledger::accounts; ++i) {
        const auto account = static_cast<memory_account>(i);
        ClientMetric metric;
        metric.label.push_back({"account", name_of(account)});
        metric.gauge.value = static_cast<double>(memory.bytes(account));
        family.metric.push_back(metric);
    }
    return family;
}

MetricFamily closed_counters(const closed_connections& closed)
{
    MetricFamily family;
    family.name = prefix + std::string("connections_closed_total");
    family.help = "Callers' connections closed for want of memory or "
                  "descriptors, by reason.";
    family.type = MetricType::Counter;
    const auto add = [&](const char* reason, std::uint64_t count) {
        ClientMetric metric;
        metric.label.push_back({"reason", reason});
        metric.counter.value = static_cast<double>(count);
        family.metric.push_back(metric);
    };
    add("slow_reader", closed.slow_readers);
    add("slow_body", closed.slow_bodies);
    add("idle", closed.idle);
    add("turned_away", closed.turned_away);
    return family;
}

MetricFamily dropped_lines(std::size_t count)
{
    MetricFamily family;
    family.name = prefix + std::string("log_lines_dropped_total");
    family.help = "Log lines dropped because the output was not taken.";
    family.type = MetricType::Counter;
    ClientMetric metric;
    metric.counter.value = static_cast<double>(count);
    family.metric.push_back(metric);
    return family;
}

} // namespace

gateway_metrics::gateway_metrics()
    : m_answers(prometheus::BuildCounter()
                    .Name(prefix + std::string("answers_total"))
                    .Help("Answers to callers, by outcome and reason.")
                    .Register(m_registry))
{
}

void gateway_metrics::answered(const gateway_answer& answer)
{
    const answer_labels labels = labels_of(answer);
    m_answers.Add({{"outcome", labels.outcome}, {"reason", labels.reason}})
        .Increment();
}

std::string gateway_metrics::text(const gateway_state& state)
{
    std::vector<MetricFamily> families = m_registry.Collect();
    const auto add = [&](const char* name, const char* help, auto value) {
        families.push_back(gauge(name, help, static_cast<double>(value)));
    };
    add("settings_version", "Version of the configuration in force; 0: none.",
        state.settings_version);
    add("vms", "VMs that share the limits of the fleet.", state.vms);
    add("limits_share",
        "Share of each fleet-wide limit that the known VMs divide.",
        state.limits_share);
    add("backend_servers", "Backend servers known.", state.backend_servers);
    add("open_requests", "Requests without an answer.", state.open_requests);
    add("relayed_sends", "Sends that are relayed for other VMs.",
        state.relayed_sends);
    add("caller_connections", "Open connections of callers.",
        state.caller_connections);
    add("server_connections_idle", "Idle connections to backend servers.",
        state.idle_server_connections);
    add("ready", "1 if the balancer may send requests.", state.ready);
    add("ready_seconds",
        "Seconds from the start of the process until it was first ready; 0: "
        "not yet.",
        std::chrono::duration<double>(state.ready_seconds.value_or(duration(0)))
            .count());
    add("reaches_servers",
        "1 if requests can reach backend servers, through other VMs if need "
        "be.",
        state.reaches_servers);
    families.push_back(counter("server_connections_opened_total",
                               "Connections opened to backend servers.",
                               state.server_connections.opened));
    families.push_back(counter("server_connections_reused_total",
                               "Requests sent on an idle connection.",
                               state.server_connections.reused));
    families.push_back(server_connections_closed(state.server_connections));
    add("caller_connections_limit", "Most connections of callers.",
        state.max_caller_connections);
    add("server_connections", "Connections to backend servers.",
        state.open_server_connections);
    add("descriptors", "File descriptors in use.", state.descriptors);
    if (state.memory != nullptr) {
        const memory_limits& limits = state.memory->limits();
        add("held_bytes_soft_limit",
            "Held bytes from which on requests are refused.", limits.soft);
        add("held_bytes_hard_limit",
            "Held bytes from which on connections are closed.", limits.hard);
        families.push_back(memory_accounts(*state.memory));
    }
    families.push_back(closed_counters(state.closed));
    families.push_back(event_counters(state.events));
    families.push_back(dropped_lines(state.log_lines_dropped));
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace cranberrywood
