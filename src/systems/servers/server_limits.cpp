#include "systems/servers/server_limits.hpp"

#include "core/log_codes.hpp"

#include <algorithm>
#include <cmath>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/**
 * VMs that share a limit of R requests a second: 1.5 R + 3 at most. Each may
 * send one request at once after a pause, so in 4 s a server gets up to 4 R and
 * one for each; the users allow 6 R + 5.
 */
constexpr double sharers_per_request = 1.5;
constexpr double min_sharers = 3.0;
/**
 * Longest time between two requests of one VM, for each VM of the fleet: all
 * together ask a server each 4 s whether its limit has ended.
 */
constexpr duration enquiry_interval = 4s;
/** Relative change of a limit that is logged and announced to peers. */
constexpr double announced_change = 0.1;
/** Time for which heartbeats repeat that a limit has ended. */
constexpr duration ended_memory = 30s;
/** Limits in a heartbeat, 20 bytes each. */
constexpr std::size_t max_repeated = 6;
constexpr double milli = 1000.0;
/** Largest limit that is kept to; beyond it a limit does not bind. */
constexpr double max_per_second = 1e9;

bool differs(const std::optional<double>& a, const std::optional<double>& b)
{
    if (!a || !b) {
        return a.has_value() != b.has_value();
    }
    return std::abs(*a - *b) > announced_change * std::max(*a, *b);
}

} // namespace

server_limits::server_limits(const server_table& servers,
                             const member_directory& members)
    : m_servers(servers), m_members(members), m_sharers(members)
{
}

// An answer without a limit ends it only if its request was sent after the
// limit was named; it may have been on its way when the limit began.
void server_limits::observe(backend_server_id server,
                            std::optional<double> per_second,
                            time_point sent_at, time_point now,
                            gateway_commands& out)
{
    const auto known = m_states.find(server);
    if (!per_second && (known == m_states.end() || !known->second.per_second ||
                        sent_at < known->second.heard_at)) {
        return;
    }
    if (per_second) {
        per_second = std::clamp(*per_second, 0.0, max_per_second);
    }
    update(server, per_second, now, "self", now, out);
    state& s = m_states[server];
    s.unannounced = s.unannounced || differs(s.announced, s.per_second);
}

void server_limits::apply_remote(
    const std::string& peer, const std::vector<server_limit_report>& reports,
    time_point now, gateway_commands& out)
{
    for (const server_limit_report& report : reports) {
        const time_point heard_at = now - std::max(report.age, duration(0));
        const auto known = m_states.find(report.server);
        if (known == m_states.end() ? !report.limited
                                    : heard_at <= known->second.heard_at) {
            continue;
        }
        const double per_second =
            static_cast<double>(report.milli_per_second) / milli;
        update(report.server,
               report.limited ? std::optional(per_second) : std::nullopt,
               heard_at, peer, now, out);
        m_states[report.server].announced = m_states[report.server].per_second;
    }
}

void server_limits::forget(backend_server_id server)
{
    m_states.erase(server);
    m_sharers.forget(server);
}

void server_limits::update(backend_server_id server,
                           std::optional<double> per_second,
                           time_point heard_at, const std::string& source,
                           time_point now, gateway_commands& out)
{
    state& s = m_states[server];
    const bool changed = differs(s.per_second, per_second);
    const bool was_limited = s.per_second.has_value();
    s.per_second = per_second;
    s.heard_at = heard_at;
    if (per_second) {
        const time_point spaced = now + interval(server, s, now);
        s.next_at = was_limited ? std::min(s.next_at, spaced) : spaced;
    }
    if (!changed) {
        return;
    }
    const server_row* row = m_servers.find(server);
    out.push_back(
        gateway_log{static_cast<std::uint32_t>(log_code::server_limit_changed),
                    "server=" + (row == nullptr ? "gone" : row->entry.name) +
                        " by=" + source + " per_second=" +
                        (per_second ? std::to_string(*per_second) : "none")});
}

time_point server_limits::opens_at(backend_server_id server,
                                   time_point now) const
{
    const auto found = m_states.find(server);
    const bool limited =
        found != m_states.end() && found->second.per_second.has_value();
    return limited ? std::max(now, found->second.next_at) : now;
}

void server_limits::record_sent(backend_server_id server, time_point now)
{
    const auto found = m_states.find(server);
    if (found != m_states.end() && found->second.per_second) {
        state& s = found->second;
        s.next_at = now + interval(server, s, now);
    }
}

// A VM that shares the limit seldom or not at all asks whether it has ended.
duration server_limits::interval(backend_server_id server, const state& s,
                                 time_point now)
{
    const double per_second = s.per_second.value_or(0.0);
    const auto longest =
        enquiry_interval * static_cast<std::int64_t>(m_members.fleet_size(now));
    const auto spacing =
        m_sharers.spacing(server, per_second,
                          sharers_per_request * per_second + min_sharers, now);
    return std::min<duration>(spacing.value_or(longest), longest);
}

std::vector<server_limit_report> server_limits::take_reports(time_point now)
{
    std::vector<server_limit_report> reports;
    for (auto& [server, s] : m_states) {
        if (s.unannounced) {
            s.unannounced = false;
            s.announced = s.per_second;
            reports.push_back(report_of(server, s, now));
        }
    }
    return reports;
}

std::vector<server_limit_report>
server_limits::reports_to_repeat(time_point now)
{
    std::vector<server_limit_report> reports;
    for (const auto& [server, s] : m_states) {
        if (s.per_second || now - s.heard_at < ended_memory) {
            reports.push_back(report_of(server, s, now));
        }
    }
    if (reports.size() > max_repeated) {
        m_next_repeated = (m_next_repeated + max_repeated) % reports.size();
        std::rotate(reports.begin(),
                    reports.begin() +
                        static_cast<std::ptrdiff_t>(m_next_repeated),
                    reports.end());
        reports.resize(max_repeated);
    }
    return reports;
}

server_limit_report server_limits::report_of(backend_server_id server,
                                             const state& s,
                                             time_point now) const
{
    return {server, s.per_second.has_value(),
            static_cast<std::uint64_t>(s.per_second.value_or(0.0) * milli),
            now - s.heard_at};
}

void server_limits::drop_expired(time_point now)
{
    for (auto it = m_states.begin(); it != m_states.end();) {
        const state& s = it->second;
        const bool over = !s.per_second && now - s.heard_at >= ended_memory;
        const bool gone = m_servers.find(it->first) == nullptr;
        if (over || gone) {
            m_sharers.forget(it->first);
        }
        it = over || gone ? m_states.erase(it) : std::next(it);
    }
}

} // namespace cranberrywood
