#include "core/gateway_peers.hpp"

#include <algorithm>
#include <map>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

constexpr duration heartbeat_interval = 500ms;
/** Interval at which slices are compared with the demand. */
constexpr duration ask_interval = 200ms;

} // namespace

gateway_peers::gateway_peers(member_identity identity, incarnation process,
                             rate_slices& rates, random_source& random,
                             time_point now)
    : m_process(process), m_rates(rates),
      m_members(std::move(identity), random, now), m_next_heartbeat(now),
      m_next_asks(now + ask_interval)
{
}

void gateway_peers::received(const datagram_received& event, time_point now,
                             gateway_commands& out)
{
    const gateway_datagram& datagram = event.datagram;
    m_members.received(event.from, datagram, now);
    for (const rate_grant& grant : datagram.grants) {
        m_rates.borrowed(event.from, grant);
    }
    gateway_datagram answer;
    for (const rate_ask& ask : datagram.asks) {
        if (const auto grant = m_rates.lend(event.from, ask, now)) {
            answer.grants.push_back(*grant);
        }
    }
    if (!answer.grants.empty()) {
        m_members.describe(answer, now);
        answer.members.clear();
        answer.process = m_process;
        out.push_back(send_datagram{event.from, std::move(answer)});
    }
}

void gateway_peers::tick(time_point now, gateway_commands& out)
{
    if (now >= m_next_heartbeat) {
        m_next_heartbeat = now + heartbeat_interval;
        send_heartbeats(now, out);
    }
    if (now >= m_next_asks) {
        m_next_asks = now + ask_interval;
        send_asks(now, out);
    }
}

time_point gateway_peers::next_wakeup() const
{
    return std::min(m_next_heartbeat, m_next_asks);
}

gateway_datagram gateway_peers::heartbeat(time_point now)
{
    gateway_datagram datagram;
    datagram.process = m_process;
    m_members.describe(datagram, now);
    return datagram;
}

void gateway_peers::send_heartbeats(time_point now, gateway_commands& out)
{
    for (const std::string& to : m_members.heartbeat_targets(now)) {
        out.push_back(send_datagram{to, heartbeat(now)});
    }
}

void gateway_peers::send_asks(time_point now, gateway_commands& out)
{
    std::map<std::string, gateway_datagram> by_peer;
    for (const addressed_ask& ask : m_rates.asks(m_members.live(now), now)) {
        by_peer[ask.to].asks.push_back(ask.ask);
    }
    for (auto& [to, datagram] : by_peer) {
        m_members.describe(datagram, now);
        datagram.members.clear();
        datagram.process = m_process;
        out.push_back(send_datagram{to, std::move(datagram)});
    }
}

} // namespace cranberrywood
