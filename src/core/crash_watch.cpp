#include "core/crash_watch.hpp"

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/**
 * Time from a loss to the probe: a process that ends closes its connections
 * and its listener one after the other.
 */
constexpr duration probe_delay = 10ms;

} // namespace

crash_watch::crash_watch(const server_table& servers,
                         crash_quarantine& quarantine)
    : m_servers(servers), m_quarantine(quarantine)
{
}

// A send that was lost on a connection that had been idle counts as well: a
// server that crashes at once looks like one that had closed the connection.
void crash_watch::exchange_ended(const exchange_row& row,
                                 const cranberrywood::exchange_ended& ended,
                                 time_point now, gateway_commands& out)
{
    if (const auto* answer = std::get_if<backend_answer>(&ended.result)) {
        if (answer->misdirected) {
            record_crashes(row.server, now, out);
            return;
        }
        m_evidence.drop_before(row.server, row.sent_at);
        if (answer->success()) {
            m_quarantine.record_completion(row.print, row.service, row.sent_at,
                                           now, out);
        }
        return;
    }
    switch (std::get<exchange_failure>(ended.result).fault) {
    case exchange_fault::connection_refused:
        record_crashes(row.server, now, out);
        return;
    case exchange_fault::connection_lost:
    case exchange_fault::kept_connection_lost:
    case exchange_fault::over_connection_limit:
        m_evidence.add({row.print, row.server, row.service, row.sent_at, now});
        if (!m_probes.contains(row.server)) {
            m_probes.schedule(row.server, now + probe_delay);
        }
        return;
    case exchange_fault::not_connected:
    case exchange_fault::invalid_answer:
    case exchange_fault::declined:
        return;
    }
}

// An accepted connection proves little, since it may wait in the queue of a
// process that is ending; an answer proves that the server lives.
void crash_watch::server_probed(const cranberrywood::server_probed& probed,
                                time_point now, gateway_commands& out)
{
    if (probed.result == probe_result::refused) {
        record_crashes(probed.server, now, out);
    }
}

void crash_watch::server_started(backend_server_id server, time_point now,
                                 gateway_commands& out)
{
    record_crashes(server, now, out);
}

void crash_watch::tick(time_point now, gateway_commands& out)
{
    while (const auto server = m_probes.pop_due(now)) {
        const server_row* row = m_servers.find(*server);
        if (row != nullptr && m_evidence.has(*server)) {
            out.push_back(probe_server{*server, row->entry.address});
        }
    }
    m_evidence.drop_expired(now);
}

void crash_watch::record_crashes(backend_server_id server, time_point now,
                                 gateway_commands& out)
{
    for (const request_crash& crash : m_evidence.take_crashes(server, now)) {
        m_quarantine.record_crash(crash, now, out);
    }
}

} // namespace cranberrywood
