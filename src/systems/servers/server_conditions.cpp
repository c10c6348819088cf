#include "systems/servers/server_conditions.hpp"

#include "core/log_codes.hpp"
#include "core/request_log.hpp"

#include <algorithm>
#include <utility>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Two sends this far apart cannot both have met one ordinary pause. */
constexpr duration longest_pause = 300ms;
/** Evidence further apart than this does not belong to one impairment. */
constexpr duration evidence_period = 1s;
/** Late sends beyond a pause that make a server impaired. */
constexpr std::uint32_t confirmations_needed = 3;
/** Unsuccessful sends within the evidence period that do so. */
constexpr std::uint32_t failures_needed = 2;
/**
 * Usual answers in a row after which a server has recovered. A server that
 * loses some answers gives usual ones in between.
 */
constexpr std::uint32_t normal_after_slow = 2;
constexpr std::uint32_t normal_after_failing = 4;
/** Reports of usual answers closer than this may be copies of one datagram. */
constexpr duration usual_answer_gap = 30ms;
/** An impairment without new evidence ends after this time. */
constexpr duration evidence_life = 3s;
/** Probes that an impaired server gets from all VMs together. */
constexpr double probes_per_second = 2.0;
/** VMs that share the probes, so that some may be gone. */
constexpr double probing_vms = 4.0;
/** At 20 bytes each, these leave a heartbeat in one packet. */
constexpr std::size_t reports_per_heartbeat = 8;
/** No request waits this long; a greater latency in a report is a fault. */
constexpr duration longest_latency = 60s;
constexpr duration learnt_log_interval = 1s;

} // namespace

server_conditions::server_conditions(const server_table& servers,
                                     const member_directory& members)
    : m_servers(servers), m_probers(members)
{
}

void server_conditions::observe(const server_observation& seen, time_point now,
                                gateway_commands& out)
{
    const server_row* row = m_servers.find(seen.server);
    if (row != nullptr && !sends_often(*row)) {
        add(seen, now, out);
    }
}

void server_conditions::apply_remote(
    const std::vector<server_suspicion>& suspicions, time_point now,
    gateway_commands& out)
{
    for (const server_suspicion& s : suspicions) {
        const server_row* row = m_servers.find(s.server);
        const bool timed =
            s.sent_age > duration(0) && s.sent_age <= evidence_life;
        const bool refused = s.cause == suspicion_cause::refused;
        if (row != nullptr && timed && !refused && !sends_often(*row)) {
            add({s.server, s.cause, now - s.sent_age, duration(0), duration(0)},
                now, out);
        }
    }
}

void server_conditions::add(const server_observation& seen, time_point now,
                            gateway_commands& out)
{
    if (is_settled(seen.server, seen.sent_at)) {
        return;
    }
    const auto [found, added] = m_states.try_emplace(seen.server);
    state& s = found->second;
    const bool unrelated = seen.sent_at - s.bad_since > evidence_period;
    if (added || (!s.impaired && unrelated)) {
        s = state();
        s.bad_since = seen.sent_at;
    }
    if (seen.sent_at > s.bad_last) {
        s.bad_last = seen.sent_at;
        s.normal_in_row = 0;
    }
    count_evidence(s, seen);
    const bool confirmed = s.failures >= failures_needed ||
                           s.confirmations >= confirmations_needed;
    if (!s.impaired && confirmed) {
        impair(s);
        log_change(seen.server, s, now, out);
        m_news.push_back(report_of(seen.server, s, now));
    }
}

// An answer that came late was counted when it was due; it only adds how long
// the server takes.
void server_conditions::count_evidence(state& s, const server_observation& seen)
{
    if (seen.latency > duration(0)) {
        s.latency = s.latency == duration(0) ? seen.latency
                                             : (s.latency + seen.latency) / 2;
    }
    if (seen.cause == suspicion_cause::failed) {
        ++s.failures;
        s.failing = s.failing || s.failures >= failures_needed;
    } else if (seen.excess >= longest_pause) {
        s.confirmations = confirmations_needed;
    } else if (seen.latency == duration(0) &&
               seen.sent_at - s.bad_since >= longest_pause) {
        ++s.confirmations;
    }
}

void server_conditions::observe_normal(backend_server_id server,
                                       time_point sent_at, time_point now,
                                       gateway_commands& out)
{
    const auto found = m_states.find(server);
    if (found == m_states.end() || sent_at <= found->second.bad_last) {
        return;
    }
    state& s = found->second;
    if (!s.impaired) {
        m_states.erase(found);
        return;
    }
    if (!count_usual_answer(s, sent_at, now)) {
        if (!s.failing) {
            m_news.push_back(
                {server, false, false, duration(0), now - sent_at, true});
        }
        return;
    }
    state ended = s;
    ended.impaired = false;
    ended.bad_last = sent_at;
    log_change(server, ended, now, out);
    m_news.push_back(report_of(server, ended, now));
    recover(server, sent_at);
}

// Each probing VM sends a probe in two seconds only. So the usual answers of
// all count together, and after the first one the next request is a probe.
bool server_conditions::count_usual_answer(state& s, time_point sent_at,
                                           time_point now)
{
    const std::uint32_t needed =
        s.failing ? normal_after_failing : normal_after_slow;
    s.normal_last = std::max(s.normal_last, sent_at);
    if (!s.failing) {
        s.next_probe = now;
    }
    return ++s.normal_in_row >= needed;
}

// A server that loses some answers gives many usual ones, which are not passed
// on: the failures in between may be seen by other VMs.
void server_conditions::apply_usual_answer(
    const server_condition_report& report, time_point now)
{
    const time_point shown_at = now - report.age;
    const auto found = m_states.find(report.server);
    if (found == m_states.end() || !found->second.impaired ||
        found->second.failing || shown_at <= found->second.bad_last ||
        shown_at < found->second.normal_last + usual_answer_gap) {
        return;
    }
    if (count_usual_answer(found->second, shown_at, now)) {
        ++m_learnt.recovered;
        recover(report.server, shown_at);
    }
}

void server_conditions::apply_remote(
    const std::vector<server_condition_report>& reports, time_point now)
{
    for (const server_condition_report& report : reports) {
        const server_row* row = m_servers.find(report.server);
        const bool usable = row != nullptr && report.age >= duration(0) &&
                            report.age <= evidence_life &&
                            report.latency >= duration(0) &&
                            report.latency <= longest_latency;
        if (!usable || sends_often(*row)) {
            ++m_learnt.ignored;
            continue;
        }
        if (report.usual_answer) {
            apply_usual_answer(report, now);
        } else {
            apply_report(report, now);
        }
    }
}

// The later evidence wins, so reports may come in any order and more than once.
// A recovery is kept: a VM that has missed it repeats the condition.
void server_conditions::apply_report(const server_condition_report& report,
                                     time_point now)
{
    const time_point shown_at = now - report.age;
    const auto found = m_states.find(report.server);
    const bool known = found != m_states.end() && found->second.impaired;
    if (!report.impaired) {
        if (!known || shown_at > found->second.bad_last) {
            m_learnt.recovered += known ? 1 : 0;
            recover(report.server, shown_at);
        }
        return;
    }
    if (is_settled(report.server, shown_at)) {
        return;
    }
    state& s = m_states[report.server];
    if (shown_at > s.bad_last) {
        s.bad_last = shown_at;
        s.latency = report.latency;
        s.failing = report.failing;
    }
    if (!known) {
        ++m_learnt.impaired;
        impair(s);
    }
}

void server_conditions::impair(state& s)
{
    s.impaired = true;
    s.normal_in_row = 0;
    ++m_impaired;
}

void server_conditions::recover(backend_server_id server, time_point shown_at)
{
    const auto found = m_states.find(server);
    if (found != m_states.end() && shown_at > found->second.bad_last) {
        m_impaired -= found->second.impaired ? 1 : 0;
        m_states.erase(found);
    }
    time_point& recovered = m_recovered[server];
    recovered = std::max(recovered, shown_at);
}

bool server_conditions::is_settled(backend_server_id server,
                                   time_point shown_at) const
{
    const auto found = m_recovered.find(server);
    return found != m_recovered.end() && shown_at <= found->second;
}

bool server_conditions::is_impaired(backend_server_id server,
                                    time_point now) const
{
    const auto found = m_states.find(server);
    return found != m_states.end() && found->second.impaired &&
           now - found->second.bad_last <= evidence_life;
}

duration server_conditions::latency(backend_server_id server) const
{
    const auto found = m_states.find(server);
    return found == m_states.end() ? duration(0) : found->second.latency;
}

bool server_conditions::needs_evidence(const server_observation& seen) const
{
    const auto found = m_states.find(seen.server);
    if (found == m_states.end() || found->second.impaired) {
        return false;
    }
    const state& s = found->second;
    return seen.cause == suspicion_cause::failed
               ? s.failures > 0
               : seen.sent_at - s.bad_since >= longest_pause;
}

bool server_conditions::probe_due(backend_server_id server, time_point now)
{
    const auto found = m_states.find(server);
    return found != m_states.end() && found->second.impaired &&
           now >= found->second.next_probe &&
           m_probers.spacing(server, probes_per_second, probing_vms, now)
               .has_value();
}

void server_conditions::record_sent(backend_server_id server, time_point now)
{
    const auto found = m_states.find(server);
    if (found == m_states.end() || !found->second.impaired) {
        return;
    }
    state& s = found->second;
    // A VM that has no request when its probe is due sends the next one
    // earlier.
    if (const auto spacing =
            m_probers.spacing(server, probes_per_second, probing_vms, now)) {
        s.next_probe = std::max(s.next_probe, now - *spacing) + *spacing;
    }
}

void server_conditions::forget(backend_server_id server)
{
    const auto found = m_states.find(server);
    if (found != m_states.end()) {
        m_impaired -= found->second.impaired ? 1 : 0;
        m_states.erase(found);
    }
    m_recovered.erase(server);
    m_probers.forget(server);
}

void server_conditions::drop_expired(time_point now, gateway_commands& out)
{
    for (auto it = m_states.begin(); it != m_states.end();) {
        const bool expired = now - it->second.bad_last > evidence_life ||
                             m_servers.find(it->first) == nullptr;
        if (expired && it->second.impaired) {
            --m_impaired;
            ++m_learnt.recovered;
        }
        it = expired ? m_states.erase(it) : std::next(it);
    }
    for (auto it = m_recovered.begin(); it != m_recovered.end();) {
        const bool expired = now - it->second > evidence_life ||
                             m_servers.find(it->first) == nullptr;
        it = expired ? m_recovered.erase(it) : std::next(it);
    }
    log_learnt(now, out);
}

std::vector<server_condition_report> server_conditions::take_reports()
{
    return std::exchange(m_news, {});
}

std::vector<server_condition_report>
server_conditions::reports_to_repeat(time_point now)
{
    std::vector<server_condition_report> reports;
    for (const auto& [server, s] : m_states) {
        if (is_impaired(server, now)) {
            reports.push_back(report_of(server, s, now));
        }
    }
    for (const auto& [server, shown_at] : m_recovered) {
        if (now - shown_at <= evidence_life && !is_impaired(server, now)) {
            reports.push_back(
                {server, false, false, duration(0), now - shown_at});
        }
    }
    if (reports.size() > reports_per_heartbeat) {
        const std::size_t first = m_next_repeated % reports.size();
        m_next_repeated += reports_per_heartbeat;
        std::rotate(reports.begin(),
                    reports.begin() + static_cast<std::ptrdiff_t>(first),
                    reports.end());
        reports.resize(reports_per_heartbeat);
    }
    return reports;
}

server_condition_report server_conditions::report_of(backend_server_id server,
                                                     const state& s,
                                                     time_point now)
{
    return {server, s.impaired, s.failing, s.latency, now - s.bad_last};
}

void server_conditions::log_change(backend_server_id server, const state& s,
                                   time_point now, gateway_commands& out) const
{
    const server_row* row = m_servers.find(server);
    out.push_back(gateway_log{
        static_cast<std::uint32_t>(log_code::server_condition_changed),
        "server=" + (row == nullptr ? "gone" : row->entry.name) +
            " impaired=" + (s.impaired ? "yes" : "no") +
            " cause=" + (s.failing ? "failed" : "late") +
            " latency_ms=" + milliseconds_text(s.latency) +
            " evidence_age_ms=" + milliseconds_text(now - s.bad_last) +
            " late=" + std::to_string(s.confirmations) +
            " failures=" + std::to_string(s.failures)});
}

// Peers report many changes at once, so these share a line.
void server_conditions::log_learnt(time_point now, gateway_commands& out)
{
    const bool any = m_learnt.impaired + m_learnt.recovered > 0;
    if (!any || now < m_next_learnt_log) {
        return;
    }
    m_next_learnt_log = now + learnt_log_interval;
    const learnt_changes learnt = std::exchange(m_learnt, {});
    out.push_back(gateway_log{
        static_cast<std::uint32_t>(log_code::server_conditions_learnt),
        "impaired=" + std::to_string(m_impaired) +
            " added=" + std::to_string(learnt.impaired) +
            " ended=" + std::to_string(learnt.recovered) +
            " ignored=" + std::to_string(learnt.ignored)});
}

} // namespace cranberrywood
