#include "systems/queries/crash_quarantine.hpp"

#include "core/log_codes.hpp"
#include "core/request_log.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Strikes at which a request is refused. */
constexpr std::uint32_t refusal_strikes = 2;
/**
 * Term after the second strike, short as the request may have been on two
 * crashed servers by chance. One trial follows it.
 */
constexpr duration first_term = 30s;
/** Term after the third strike, doubled by each further one. */
constexpr duration repeated_term = 10min;
constexpr std::uint32_t max_doublings = 6;
/** Time for which crashes are remembered after the end of a refusal. */
constexpr duration memory_time = 30min;
/** A server does not crash twice within this time. */
constexpr duration same_crash_time = 1s;
constexpr std::size_t max_crashes = 32;
constexpr std::size_t max_rows = 4096;
/** Crashes in a heartbeat, 40 bytes each. */
constexpr std::size_t max_repeated = 4;
/** Bound on ages in reports of peers. */
constexpr duration max_age = memory_time;
/** Clearances kept, for how long, and how many a heartbeat repeats. */
constexpr std::size_t max_cleared = 256;
constexpr duration clearance_time = 60s;
constexpr duration clearance_repeat_time = 10s;
constexpr std::size_t max_repeated_clearances = 2;
/** Time that a report may have been on its way. */
constexpr duration report_delay = 50ms;

duration refusal_term(std::uint32_t strikes)
{
    if (strikes < refusal_strikes) {
        return duration(0);
    }
    if (strikes == refusal_strikes) {
        return first_term;
    }
    const std::uint32_t doublings =
        std::min(strikes - refusal_strikes - 1, max_doublings);
    return repeated_term * (1U << doublings);
}

crash_report report_of(const request_crash& crash, time_point now)
{
    return {crash.print,         crash.server,        crash.service,
            now - crash.sent_at, now - crash.lost_at, crash.strike};
}

bool is_same(const request_crash& a, const request_crash& b)
{
    const duration apart =
        a.lost_at < b.lost_at ? b.lost_at - a.lost_at : a.lost_at - b.lost_at;
    return a.server == b.server && apart < same_crash_time;
}

void log(log_code code, const std::string& text, gateway_commands& out)
{
    out.push_back(gateway_log{static_cast<std::uint32_t>(code), text});
}

} // namespace

void crash_quarantine::record_crash(const request_crash& crash, time_point now,
                                    gateway_commands& out)
{
    if (const request_crash* added = add(crash, "self", now, out)) {
        m_unreported.push_back(*added);
    }
}

void crash_quarantine::record_completion(fingerprint print, service_id service,
                                         time_point sent_at, time_point now,
                                         gateway_commands& out)
{
    if (m_rows.empty()) {
        return;
    }
    const clearance cleared{print, service, std::min(sent_at, now)};
    if (clear(cleared, "self", out)) {
        m_unreported_clearances.push_back(cleared);
    }
}

void crash_quarantine::apply_remote(
    const std::string& peer, const std::vector<crash_report>& crashes,
    const std::vector<crash_clearance>& clearances, time_point now,
    gateway_commands& out)
{
    for (const crash_report& report : crashes) {
        const duration lost = std::clamp(report.lost_age, duration(0), max_age);
        const duration sent = std::clamp(report.sent_age, lost, max_age);
        const std::uint32_t strike = std::min<std::uint32_t>(
            report.strike, static_cast<std::uint32_t>(max_crashes));
        add({report.print, report.server, report.service, now - sent,
             now - lost, strike},
            peer, now, out);
    }
    for (const crash_clearance& report : clearances) {
        const duration age = std::clamp(report.sent_age, duration(0), max_age);
        clear({report.print, report.service, now - age}, peer, out);
    }
}

std::optional<duration> crash_quarantine::refused_for(fingerprint print,
                                                      time_point now) const
{
    const auto found = m_rows.find(print);
    if (found == m_rows.end() || now >= found->second.refused_until) {
        return std::nullopt;
    }
    return found->second.refused_until - now;
}

bool crash_quarantine::has_crashed(fingerprint print, service_id service) const
{
    const auto found = m_rows.find(print);
    return found != m_rows.end() &&
           std::any_of(found->second.crashes.begin(),
                       found->second.crashes.end(),
                       [&](const request_crash& crash) {
                           return crash.service == service;
                       });
}

std::vector<crash_report> crash_quarantine::take_reports(time_point now)
{
    std::vector<crash_report> reports;
    for (const request_crash& crash : m_unreported) {
        reports.push_back(report_of(crash, now));
    }
    m_unreported.clear();
    return reports;
}

std::vector<crash_clearance> crash_quarantine::take_clearances(time_point now)
{
    std::vector<crash_clearance> reports;
    for (const clearance& c : m_unreported_clearances) {
        reports.push_back({c.print, c.service, now - c.sent_at});
    }
    m_unreported_clearances.clear();
    return reports;
}

// Heartbeats repeat what a lost datagram, a partition or a restart has kept
// from a VM: of the next few requests that are refused one crash for each
// strike, the last ones first.
std::vector<crash_report> crash_quarantine::reports_to_repeat(time_point now)
{
    std::vector<crash_report> reports;
    auto it = m_rows.upper_bound(m_last_repeated);
    for (std::size_t seen = 0; seen < m_rows.size(); ++seen, ++it) {
        it = it == m_rows.end() ? m_rows.begin() : it;
        const row& r = it->second;
        if (r.strikes < refusal_strikes) {
            continue;
        }
        if (reports.size() + refusal_strikes > max_repeated) {
            break;
        }
        std::uint32_t strike = r.strikes + 1;
        for (auto c = r.crashes.rbegin(); c != r.crashes.rend(); ++c) {
            if (c->strike < strike && reports.size() < max_repeated) {
                strike = c->strike;
                reports.push_back(report_of(*c, now));
            }
        }
        m_last_repeated = it->first;
    }
    return reports;
}

std::vector<crash_clearance>
crash_quarantine::clearances_to_repeat(time_point now) const
{
    std::vector<crash_clearance> reports;
    for (auto c = m_cleared.rbegin(); c != m_cleared.rend(); ++c) {
        if (now - c->sent_at > clearance_repeat_time ||
            reports.size() >= max_repeated_clearances) {
            break;
        }
        reports.push_back({c->print, c->service, now - c->sent_at});
    }
    return reports;
}

void crash_quarantine::drop_expired(time_point now)
{
    while (!m_cleared.empty() &&
           now - m_cleared.front().sent_at > clearance_time) {
        m_cleared.pop_front();
    }
    for (auto it = m_rows.begin(); it != m_rows.end();) {
        const row& r = it->second;
        const time_point last =
            std::max(r.refused_until, r.crashes.back().lost_at);
        it = now - last > memory_time ? m_rows.erase(it) : std::next(it);
    }
}

const request_crash* crash_quarantine::add(const request_crash& crash,
                                           const std::string& source,
                                           time_point now,
                                           gateway_commands& out)
{
    if (is_cleared(crash)) {
        return nullptr;
    }
    row& r = find_or_insert(crash.print);
    for (request_crash& known : r.crashes) {
        if (is_same(known, crash)) {
            known.strike = std::max(known.strike, crash.strike);
            count_strikes(r);
            return nullptr;
        }
    }
    if (r.crashes.size() >= max_crashes) {
        return nullptr;
    }
    const auto later = std::find_if(r.crashes.begin(), r.crashes.end(),
                                    [&](const request_crash& known) {
                                        return known.lost_at > crash.lost_at;
                                    });
    const auto added = r.crashes.insert(later, crash);
    count_strikes(r);
    const auto refused = refused_for(crash.print, now);
    log(log_code::request_crashed_server,
        "fingerprint=" + std::to_string(crash.print.value()) +
            " server=" + std::to_string(crash.server.value()) +
            " by=" + source + " crashes=" + std::to_string(r.crashes.size()) +
            " strikes=" + std::to_string(r.strikes) +
            " refused_ms=" + milliseconds_text(refused.value_or(duration(0))),
        out);
    return &*added;
}

// A completion says nothing of crashes that came after it was sent, nor of
// other services, whose data the request may still crash on.
bool crash_quarantine::clear(const clearance& cleared,
                             const std::string& source, gateway_commands& out)
{
    const auto found = m_rows.find(cleared.print);
    if (found == m_rows.end()) {
        return false;
    }
    row& r = found->second;
    const auto kept = std::remove_if(
        r.crashes.begin(), r.crashes.end(), [&](const request_crash& crash) {
            return crash.service == cleared.service &&
                   crash.lost_at <= cleared.sent_at;
        });
    if (kept == r.crashes.end()) {
        return false;
    }
    r.crashes.erase(kept, r.crashes.end());
    for (request_crash& crash : r.crashes) {
        crash.strike = 0;
    }
    count_strikes(r);
    if (m_cleared.size() >= max_cleared) {
        m_cleared.pop_front();
    }
    m_cleared.push_back(cleared);
    log(log_code::request_cleared,
        "fingerprint=" + std::to_string(cleared.print.value()) +
            " by=" + source + " crashes=" + std::to_string(r.crashes.size()) +
            " strikes=" + std::to_string(r.strikes),
        out);
    if (r.crashes.empty()) {
        m_rows.erase(found);
    }
    return true;
}

bool crash_quarantine::is_cleared(const request_crash& crash) const
{
    return std::any_of(
        m_cleared.begin(), m_cleared.end(), [&](const clearance& c) {
            return c.print == crash.print && c.service == crash.service &&
                   crash.lost_at <= c.sent_at + report_delay;
        });
}

// Only a send that began after the previous strike is further evidence: all
// servers that ran the request at the time of a power loss crash at once. Times
// that come from different datagrams are not exact enough to tell, so the count
// of the VM that saw a crash is the least.
void crash_quarantine::count_strikes(row& r)
{
    r.strikes = 0;
    time_point last;
    for (request_crash& crash : r.crashes) {
        const bool independent = r.strikes == 0 || crash.sent_at >= last;
        const std::uint32_t counted =
            std::max(r.strikes + (independent ? 1 : 0), crash.strike);
        if (counted > r.strikes) {
            r.strikes = counted;
            last = crash.lost_at;
        }
        crash.strike = counted;
    }
    const duration term = refusal_term(r.strikes);
    r.refused_until = term > duration(0) ? last + term : time_point();
}

crash_quarantine::row& crash_quarantine::find_or_insert(fingerprint print)
{
    if (m_rows.count(print) == 0 && m_rows.size() >= max_rows) {
        evict_one();
    }
    return m_rows[print];
}

void crash_quarantine::evict_one()
{
    const auto before = [](const row_table::value_type& a,
                           const row_table::value_type& b) {
        return a.second.strikes != b.second.strikes
                   ? a.second.strikes < b.second.strikes
                   : a.second.crashes.back().lost_at <
                         b.second.crashes.back().lost_at;
    };
    m_rows.erase(std::min_element(m_rows.begin(), m_rows.end(), before));
}

} // namespace cranberrywood
