#include "systems/servers/server_suspicions.hpp"

#include "core/log_codes.hpp"
#include "core/request_log.hpp"

#include <algorithm>
#include <utility>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Term of a first suspicion: slightly longer than a usual pause. */
constexpr duration first_term = 150ms;
constexpr duration max_term = 2400ms;
/**
 * Longest first term after a refusal or a failure. Unlike a pause, these come
 * in series, so a VM that sends seldom would meet each of them anew.
 */
constexpr duration max_first_fault_term = 1200ms;
/** A new suspicion this soon after a term ends doubles the term. */
constexpr duration repeat_period = 500ms;
constexpr std::uint32_t max_in_row = 5;
const char* name_of(suspicion_cause cause)
{
    switch (cause) {
    case suspicion_cause::late:
        return "late";
    case suspicion_cause::refused:
        return "refused";
    case suspicion_cause::failed:
        return "failed";
    }
    return "unknown";
}

/** Returns the term of a first suspicion after a refusal or a failure. */
duration first_fault_term(duration send_gap)
{
    return std::clamp(send_gap / 2, first_term, max_first_fault_term);
}

void log(const server_row& row, const char* cause, duration term,
         gateway_commands& out)
{
    out.push_back(
        gateway_log{static_cast<std::uint32_t>(log_code::server_suspected),
                    "server=" + row.entry.name + " cause=" + cause +
                        " in_row=" + std::to_string(row.suspicions_in_row) +
                        " term_ms=" + milliseconds_text(term) +
                        " send_gap_ms=" + milliseconds_text(row.send_gap)});
}

} // namespace

server_suspicions::server_suspicions(server_table& servers) : m_servers(servers)
{
}

void server_suspicions::found(const server_observation& seen,
                              bool needs_evidence, time_point now,
                              gateway_commands& out)
{
    server_row* row = m_servers.find(seen.server);
    if (row == nullptr || sends_often(*row)) {
        return;
    }
    const duration sent_age = now - seen.sent_at;
    if (now < row->suspected_until) {
        if (needs_evidence) {
            m_unannounced.push_back({seen.server, row->suspected_until - now,
                                     seen.cause, sent_age});
        }
        return;
    }
    const bool repeated = now - row->suspected_until < repeat_period;
    const std::uint32_t previous = repeated ? row->suspicions_in_row : 0;
    const duration first = seen.cause == suspicion_cause::late
                               ? first_term
                               : first_fault_term(row->send_gap);
    const duration term = std::min(first * (1U << previous), max_term);
    extend_suspicion(*row, term, now);
    log(*row, name_of(seen.cause), term, out);
    m_unannounced.push_back({seen.server, term, seen.cause, sent_age});
}

void server_suspicions::apply_remote(
    const std::vector<server_suspicion>& suspicions, time_point now)
{
    for (const server_suspicion& s : suspicions) {
        server_row* row = m_servers.find(s.server);
        if (row != nullptr && s.term > duration(0)) {
            extend_suspicion(*row, std::min(s.term, max_term), now);
        }
    }
}

std::vector<server_suspicion> server_suspicions::take_local_suspicions()
{
    return std::exchange(m_unannounced, {});
}

// The count of consecutive suspicions is derived from the term, so that all VMs
// continue from the same count, whichever VM suspected the server first.
void server_suspicions::extend_suspicion(server_row& row, duration term,
                                         time_point now)
{
    if (now + term <= row.suspected_until) {
        return;
    }
    row.suspected_until = now + term;
    row.suspicions_in_row = 1;
    while (row.suspicions_in_row < max_in_row &&
           first_term * (1U << row.suspicions_in_row) <= term) {
        ++row.suspicions_in_row;
    }
}

} // namespace cranberrywood
