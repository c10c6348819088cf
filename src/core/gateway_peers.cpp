#include "core/gateway_peers.hpp"

#include <algorithm>
#include <map>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

constexpr duration heartbeat_interval = 500ms;
/** Shorter interval while the VM is discovering the fleet. */
constexpr duration discovery_interval = 150ms;
/** Interval at which available tokens are compared with demand. */
constexpr duration ask_interval = 200ms;
/**
 * Rate and burst of datagrams that carry news. At 80 bytes each, the rate
 * stays below 9 KB/s, the limit on control traffic of a VM.
 */
constexpr std::uint64_t news_datagrams_per_second = 100;
constexpr std::uint64_t news_datagram_burst = 150;

} // namespace

gateway_peers::gateway_peers(member_directory& members, incarnation process,
                             rate_slices& rates, server_limits& limits,
                             crash_quarantine& quarantine,
                             server_conditions& conditions, relay_peers& relays,
                             time_point now)
    : m_process(process), m_rates(rates), m_limits(limits),
      m_quarantine(quarantine), m_conditions(conditions), m_relay_peers(relays),
      m_members(members), m_next_heartbeat(now),
      m_next_asks(now + ask_interval), m_news_budget(now)
{
}

void gateway_peers::received(const datagram_received& event, time_point now,
                             gateway_commands& out)
{
    const gateway_datagram& datagram = event.datagram;
    m_members.received(event.from, datagram, now);
    m_relay_peers.received(event.from, datagram.accepts_relays);
    for (const token_grant& grant : datagram.grants) {
        m_rates.receive_grant(grant, now);
    }
    if (m_members.knows_more_than(datagram)) {
        out.push_back(send_datagram{event.from, heartbeat(now)});
    }
    gateway_datagram answer;
    for (const token_ask& ask : datagram.asks) {
        answer.grants.push_back(m_rates.lend(ask, now));
    }
    if (!answer.grants.empty()) {
        stamp(answer, now);
        out.push_back(send_datagram{event.from, std::move(answer)});
    }
}

void gateway_peers::stamp(gateway_datagram& datagram, time_point now) const
{
    datagram.process = m_process;
    datagram.accepts_relays = m_accepts_relays;
    datagram.settings_version = m_settings_version;
    m_members.fill(datagram, now);
}

void gateway_peers::tick(time_point now, gateway_commands& out)
{
    if (now >= m_next_heartbeat) {
        m_next_heartbeat = now + (m_members.settled(now) ? heartbeat_interval
                                                         : discovery_interval);
        send_heartbeats(now, out);
    }
    if (now >= m_next_asks) {
        m_next_asks = now + ask_interval;
        send_asks(m_rates.make_prefetch_asks(now), now, out);
    }
}

time_point gateway_peers::next_wakeup() const
{
    return std::min(m_next_heartbeat, m_next_asks);
}

gateway_datagram gateway_peers::heartbeat(time_point now)
{
    gateway_datagram datagram;
    stamp(datagram, now);
    m_members.add_hints(datagram, now);
    datagram.limits = m_limits.reports_to_repeat(now);
    datagram.conditions = m_conditions.reports_to_repeat(now);
    datagram.crashes = m_quarantine.reports_to_repeat(now);
    datagram.clearances = m_quarantine.clearances_to_repeat(now);
    return datagram;
}

void gateway_peers::send_heartbeats(time_point now, gateway_commands& out)
{
    for (const std::string& to : m_members.heartbeat_targets(now)) {
        out.push_back(send_datagram{to, heartbeat(now)});
    }
}

// If the limit does not allow a datagram to every live VM, the recipients are
// chosen at random each time.
void gateway_peers::broadcast(gateway_datagram news, time_point now,
                              gateway_commands& out)
{
    m_news_budget.refill(news_datagrams_per_second * tokens_per_request,
                         news_datagram_burst * tokens_per_request, now);
    stamp(news, now);
    for (const std::string& to : m_members.live(now)) {
        if (m_news_budget.tokens() < tokens_per_request) {
            return;
        }
        m_news_budget.take(tokens_per_request);
        out.push_back(send_datagram{to, news});
    }
}

void gateway_peers::send_asks(const std::vector<addressed_ask>& asks,
                              time_point now, gateway_commands& out)
{
    std::map<std::string, gateway_datagram> by_peer;
    for (const addressed_ask& ask : asks) {
        by_peer[ask.to].asks.push_back(ask.ask);
    }
    for (auto& [to, datagram] : by_peer) {
        stamp(datagram, now);
        out.push_back(send_datagram{to, std::move(datagram)});
    }
}

} // namespace cranberrywood
