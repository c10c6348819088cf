#ifndef CRANBERRYWOOD_CORE_CRASH_WATCH_HPP
#define CRANBERRYWOOD_CORE_CRASH_WATCH_HPP

#include "core/call_sender.hpp"
#include "systems/queries/crash_evidence.hpp"
#include "systems/queries/crash_quarantine.hpp"
#include "tables/due_queue.hpp"

namespace cranberrywood {

/**
 * Finds out whether lost sends were crashes of their servers. A server that
 * lost a send is probed, unless an exchange tells sooner.
 */
class crash_watch
{
public:
    crash_watch(const server_table& servers, crash_quarantine& quarantine);

    /** Applies the end of an exchange. */
    void exchange_ended(const exchange_row& row, const exchange_ended& ended,
                        time_point now, gateway_commands& out);
    void server_probed(const server_probed& probed, time_point now,
                       gateway_commands& out);
    /** The server is listed as started anew. */
    void server_started(backend_server_id server, time_point now,
                        gateway_commands& out);

    /** Probes the servers that are due. */
    void tick(time_point now, gateway_commands& out);
    std::optional<time_point> next_wakeup() const
    {
        return m_probes.next_due();
    }

private:
    void record_crashes(backend_server_id server, time_point now,
                        gateway_commands& out);

    const server_table& m_servers;
    crash_quarantine& m_quarantine;
    crash_evidence m_evidence;
    due_queue<backend_server_id> m_probes;
};

} // namespace cranberrywood

#endif
