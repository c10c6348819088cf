#ifndef CRANBERRYWOOD_CORE_RELAY_SERVICE_HPP
#define CRANBERRYWOOD_CORE_RELAY_SERVICE_HPP

#include "core/call_sender.hpp"
#include "core/gateway_peers.hpp"
#include "systems/queries/crash_quarantine.hpp"
#include "systems/queries/waiting_calls.hpp"
#include "systems/servers/server_reachability.hpp"

namespace cranberrywood {

/**
 * Relays sends of peers that have lost their links to the backend servers, and
 * tells the peers whether this VM has such links itself. A relayed send is
 * never passed on to a third VM, and waits for nothing: the peer is told at
 * once if it is not sent.
 */
class relay_service
{
public:
    relay_service(const server_table& servers, random_source& random,
                  call_sender& sender, const waiting_calls& waiting,
                  const crash_quarantine& quarantine, gateway_peers& peers);

    void requested(const relay_requested& asked, time_point now,
                   gateway_commands& out);
    void withdrawn(relay_token token, time_point now, gateway_commands& out);
    /** This VM stops; it takes no further relays. */
    void leaving(time_point now, gateway_commands& out);

    /** Applies the end of an exchange that this VM sent itself. */
    void exchange_ended(const exchange_row& row, const exchange_ended& ended,
                        time_point now, gateway_commands& out);
    /** Applies a probe; returns whether the links were lost or are back. */
    bool server_probed(const server_probed& probed, time_point now,
                       gateway_commands& out);
    /** Runs what is due; returns whether the links were lost or are back. */
    bool tick(time_point now, gateway_commands& out);
    std::optional<time_point> next_wakeup() const
    {
        return m_reachability.next_wakeup();
    }

    /** Returns whether the links to the servers are lost. */
    bool links_lost() const
    {
        return m_links_lost;
    }

private:
    bool apply_links(time_point now, gateway_commands& out);
    /** Returns why a relay is not sent; null after it was sent. */
    const char* try_send(const relay_requested& asked, time_point now,
                         gateway_commands& out);

    server_reachability m_reachability;
    call_sender& m_sender;
    const waiting_calls& m_waiting;
    const crash_quarantine& m_quarantine;
    gateway_peers& m_peers;
    bool m_links_lost = false;
    bool m_leaving = false;
};

} // namespace cranberrywood

#endif
