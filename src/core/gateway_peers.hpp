#ifndef CRANBERRYWOOD_CORE_GATEWAY_PEERS_HPP
#define CRANBERRYWOOD_CORE_GATEWAY_PEERS_HPP

#include "core/gateway_messages.hpp"
#include "systems/members/member_directory.hpp"
#include "systems/rates/rate_slices.hpp"

namespace cranberrywood {

/** What a gateway tells other gateways, and when: heartbeats and loans. */
class gateway_peers
{
public:
    gateway_peers(member_identity identity, incarnation process,
                  rate_slices& rates, random_source& random, time_point now);

    void received(const datagram_received& event, time_point now,
                  gateway_commands& out);
    void tick(time_point now, gateway_commands& out);
    time_point next_wakeup() const;

    std::uint32_t fleet_size(time_point now) const
    {
        return m_members.fleet_size(now);
    }

private:
    gateway_datagram heartbeat(time_point now);
    void send_heartbeats(time_point now, gateway_commands& out);
    void send_asks(time_point now, gateway_commands& out);

    incarnation m_process;
    rate_slices& m_rates;
    member_directory m_members;
    time_point m_next_heartbeat;
    time_point m_next_asks;
};

} // namespace cranberrywood

#endif
