#ifndef CRANBERRYWOOD_CORE_GATEWAY_PEERS_HPP
#define CRANBERRYWOOD_CORE_GATEWAY_PEERS_HPP

#include "core/gateway_messages.hpp"
#include "systems/members/member_directory.hpp"
#include "systems/members/relay_peers.hpp"
#include "systems/queries/crash_quarantine.hpp"
#include "systems/rates/rate_slices.hpp"
#include "systems/servers/server_conditions.hpp"
#include "systems/servers/server_limits.hpp"

namespace cranberrywood {

/**
 * Exchanges datagrams with other gateways: heartbeats, token loans and news of
 * backend servers and of requests that crash them.
 */
class gateway_peers
{
public:
    gateway_peers(member_directory& members, incarnation process,
                  rate_slices& rates, server_limits& limits,
                  crash_quarantine& quarantine, server_conditions& conditions,
                  relay_peers& relays, time_point now);

    void received(const datagram_received& event, time_point now,
                  gateway_commands& out);
    void tick(time_point now, gateway_commands& out);
    time_point next_wakeup() const;
    /** Sends news to live VMs, within the datagram rate limit. */
    void broadcast(gateway_datagram news, time_point now,
                   gateway_commands& out);
    /** Sends asks for tokens, one datagram per VM. */
    void send_asks(const std::vector<addressed_ask>& asks, time_point now,
                   gateway_commands& out);

    /** Sets whether peers are told that this VM relays for them. */
    void accept_relays(bool accepted)
    {
        m_accepts_relays = accepted;
    }

    /** Sets the version of the configuration that peers are told. */
    void settings_changed(std::uint64_t version)
    {
        m_settings_version = version;
    }

private:
    void stamp(gateway_datagram& datagram, time_point now) const;
    gateway_datagram heartbeat(time_point now);
    void send_heartbeats(time_point now, gateway_commands& out);

    incarnation m_process;
    rate_slices& m_rates;
    server_limits& m_limits;
    crash_quarantine& m_quarantine;
    server_conditions& m_conditions;
    relay_peers& m_relay_peers;
    bool m_accepts_relays = true;
    std::uint64_t m_settings_version = 0;
    member_directory& m_members;
    time_point m_next_heartbeat;
    time_point m_next_asks;
    /** Token bucket for datagrams that carry news. */
    token_bucket m_news_budget;
};

} // namespace cranberrywood

#endif
