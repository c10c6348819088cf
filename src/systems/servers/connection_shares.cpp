#include "systems/servers/connection_shares.hpp"

#include <algorithm>
#include <cmath>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;
using seconds = std::chrono::duration<double>;

/** Share of the connections in use; the rest covers overlaps at closing. */
constexpr double usable_share = 0.95;
/**
 * Share of the connections that may be idle on average. Below a half of them,
 * so that a fleet that has restarted finds room while the server still holds
 * the connections from before; the difference is for deviations.
 */
constexpr double idle_share = 0.4;
/** Connections of a VM at a server from which on all of them are kept. */
constexpr double plenty = 2.0;
/** Time over which sends are averaged. */
constexpr seconds averaging_time(8.0);
/** Sends that each server is assumed to have got before the first one. */
constexpr double assumed_sends = 1.0;
constexpr seconds min_observed_time(1.0);
/**
 * Below this part of the time, only a fraction of the part is used: how many of
 * such connections are idle at once varies. With 86 VMs that use the servers
 * alike and 85 connections, 49 were idle at most without the fraction.
 */
constexpr double varying_part = 0.75;
constexpr double varying_fraction = 0.75;
/** Below this share of the time, a connection is kept for a short time only. */
constexpr double min_idle_part = 0.25;
constexpr duration short_idle = 100ms;
/** Sends that are awaited on average before a connection is given up. */
constexpr double awaited_sends = 4.0;
/** Time for which no connection is opened after a reset; doubles. */
constexpr duration first_term = 500ms;
constexpr duration longest_term = 4s;
/** Time without a reset after which the term is short again. */
constexpr duration calm_time = 10s;
constexpr duration log_interval = 1s;

duration to_duration(double s)
{
    return std::chrono::duration_cast<duration>(seconds(s));
}

} // namespace

void connection_shares::send_rate::count(time_point now)
{
    m_weight = weight(now) + 1.0;
    m_at = now;
}

double connection_shares::send_rate::weight(time_point now) const
{
    return m_weight * std::exp(-(seconds(now - m_at) / averaging_time));
}

bool connection_shares::send_rate::expired(time_point now) const
{
    constexpr double negligible = 0.001;
    return weight(now) < negligible;
}

std::uint32_t connection_shares::most_in_flight(const connection_limits& limits)
{
    const double slice = limits.connections * usable_share / limits.vms;
    return std::max(1U, static_cast<std::uint32_t>(slice));
}

void connection_shares::sent(service_id service, backend_server_id server,
                             time_point now)
{
    m_servers[server].count(now);
    m_services[service].count(now);
    m_first_send = std::min(m_first_send, now);
}

// If sends are independent of each other and come at a rate r, a connection
// that is kept for a time t is idle for a part 1 - exp(-r t) of the time. Each
// VM keeps to a part that is proportional to its rate at the server, relative
// to its mean rate at the servers of the service.
connection_keep connection_shares::keep(service_id service,
                                        backend_server_id server,
                                        const connection_limits& limits,
                                        time_point now) const
{
    const double share = static_cast<double>(limits.connections) / limits.vms;
    if (share >= plenty) {
        return {};
    }
    const auto own = m_servers.find(server);
    const auto all = m_services.find(service);
    if (own == m_servers.end() || all == m_services.end()) {
        return {short_idle, 1};
    }
    const auto servers =
        static_cast<double>(std::max<std::size_t>(1, limits.servers));
    const double sends = own->second.weight(now);
    const double mean = all->second.weight(now) / servers;
    const double relative = (sends + assumed_sends) / (mean + assumed_sends);
    double part = share * idle_share * relative;
    if (part < varying_part) {
        part *= varying_fraction;
    }
    if (part < min_idle_part) {
        return {short_idle, 1};
    }
    const seconds observed =
        std::max(min_observed_time, seconds(now - m_first_send));
    const double rate =
        sends / (averaging_time.count() *
                 (1.0 - std::exp(-(observed / averaging_time))));
    const double awaited = part < 1.0
                               ? std::min(awaited_sends, -std::log(1.0 - part))
                               : awaited_sends;
    return {to_duration(awaited / rate),
            std::max(1U, static_cast<std::uint32_t>(part))};
}

bool connection_shares::over_limit(backend_server_id server, time_point now)
{
    const auto [found, first] = m_resets.try_emplace(server);
    resets& own = found->second;
    const bool calm = first || now - own.last_at >= calm_time;
    const bool log = first || now - own.logged_at >= log_interval;
    if (calm) {
        own.term = first_term;
    } else if (now >= own.closed_until) {
        own.term = std::min(longest_term, own.term * 2);
    }
    own.closed_until = now + own.term;
    own.last_at = now;
    if (log) {
        own.logged_at = now;
    }
    return log;
}

bool connection_shares::may_open(backend_server_id server, time_point now) const
{
    const auto found = m_resets.find(server);
    return found == m_resets.end() || now >= found->second.closed_until;
}

duration connection_shares::opens_after(backend_server_id server,
                                        time_point now) const
{
    const auto found = m_resets.find(server);
    return found == m_resets.end()
               ? duration(0)
               : std::max(duration(0), found->second.closed_until - now);
}

void connection_shares::drop_expired(time_point now)
{
    const auto drop_rates = [now](auto& rates) {
        for (auto it = rates.begin(); it != rates.end();) {
            it = it->second.expired(now) ? rates.erase(it) : std::next(it);
        }
    };
    drop_rates(m_servers);
    drop_rates(m_services);
    for (auto it = m_resets.begin(); it != m_resets.end();) {
        it = now - it->second.last_at >= calm_time ? m_resets.erase(it)
                                                   : std::next(it);
    }
}

} // namespace cranberrywood
