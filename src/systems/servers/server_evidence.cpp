#include "systems/servers/server_evidence.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Multiples of the usual latency that are normal and that are late. */
constexpr int normal_factor = 2;
constexpr int late_factor = 3;
/** Latencies below this are normal on any server. */
constexpr duration always_normal = 30ms;

} // namespace

server_evidence::server_evidence(server_suspicions& suspicions,
                                 server_conditions& conditions)
    : m_suspicions(suspicions), m_conditions(conditions)
{
}

void server_evidence::late(const judged_send& send, time_point now,
                           gateway_commands& out)
{
    const server_observation seen{send.server, suspicion_cause::late,
                                  send.sent_at, now - send.sent_at - send.usual,
                                  duration(0)};
    m_suspicions.found(seen, m_conditions.needs_evidence(seen), now, out);
    m_conditions.observe(seen, now, out);
}

void server_evidence::answered(const judged_send& send, time_point now,
                               gateway_commands& out)
{
    const duration taken = now - send.sent_at;
    if (send.usual <= duration(0)) {
        return;
    }
    if (taken < std::max(always_normal, send.usual * normal_factor)) {
        m_conditions.observe_normal(send.server, send.sent_at, now, out);
    } else if (taken >= send.usual * late_factor) {
        m_conditions.observe({send.server, suspicion_cause::late, send.sent_at,
                              taken - send.usual, taken},
                             now, out);
    }
}

void server_evidence::refused(const judged_send& send, time_point now,
                              gateway_commands& out)
{
    m_suspicions.found({send.server, suspicion_cause::refused, send.sent_at,
                        duration(0), duration(0)},
                       false, now, out);
}

void server_evidence::failed(const judged_send& send, time_point now,
                             gateway_commands& out)
{
    const server_observation seen{send.server, suspicion_cause::failed,
                                  send.sent_at, duration(0), duration(0)};
    m_suspicions.found(seen, m_conditions.needs_evidence(seen), now, out);
    m_conditions.observe(seen, now, out);
}

// A single one is the server's right. Several within a second mean that it
// loses answers as well.
void server_evidence::kept_connection_lost(const judged_send& send,
                                           time_point now,
                                           gateway_commands& out)
{
    m_conditions.observe({send.server, suspicion_cause::failed, send.sent_at,
                          duration(0), duration(0)},
                         now, out);
}

void server_evidence::cancelled(const judged_send& send, time_point now,
                                gateway_commands& out)
{
    const duration taken = now - send.sent_at;
    if (send.usual > duration(0) && taken >= send.usual * late_factor) {
        m_conditions.observe({send.server, suspicion_cause::late, send.sent_at,
                              taken - send.usual, duration(0)},
                             now, out);
    }
}

} // namespace cranberrywood
