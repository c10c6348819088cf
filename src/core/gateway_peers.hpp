#ifndef CRANBERRYWOOD_CORE_GATEWAY_PEERS_HPP
#define CRANBERRYWOOD_CORE_GATEWAY_PEERS_HPP

#include "core/gateway_messages.hpp"
#include "systems/members/member_directory.hpp"
#include "systems/rates/rate_slices.hpp"

namespace cranberrywood {

/**
 * Exchanges datagrams with other gateways: heartbeats, token loans and
 * suspicions of backend servers.
 */
class gateway_peers
{
public:
    gateway_peers(member_directory& members, incarnation process,
                  rate_slices& rates, time_point now);

    void received(const datagram_received& event, time_point now,
                  gateway_commands& out);
    void tick(time_point now, gateway_commands& out);
    time_point next_wakeup() const;
    /** Sends suspicions to live VMs, within the datagram rate limit. */
    void broadcast_suspicions(const std::vector<server_suspicion>& suspicions,
                              time_point now, gateway_commands& out);
    /** Sends asks for tokens, one datagram per VM. */
    void send_asks(const std::vector<addressed_ask>& asks, time_point now,
                   gateway_commands& out);

private:
    gateway_datagram heartbeat(time_point now);
    void send_heartbeats(time_point now, gateway_commands& out);

    incarnation m_process;
    rate_slices& m_rates;
    member_directory& m_members;
    time_point m_next_heartbeat;
    time_point m_next_asks;
    /** Token bucket for datagrams that carry suspicions. */
    token_bucket m_suspicion_budget;
};

} // namespace cranberrywood

#endif
