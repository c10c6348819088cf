#include "systems/servers/server_directory.hpp"

#include "core/log_codes.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/**
 * Time after the store becomes reachable until live servers are listed again;
 * until then a server whose entry is missing is used.
 */
constexpr duration relist_period = 2200ms;
/** A new sample has a weight of one in this many in the smoothed value. */
constexpr int smoothing = 5;
/** Time for which a server is assumed to keep an idle connection. */
constexpr duration connection_life = 4s;
/** Minimum and maximum time for which a failing server is avoided. */
constexpr duration min_avoid = 150ms;
constexpr duration max_avoid = 2400ms;
/** Longest wait that a server can ask for. */
constexpr duration max_closed = 10min;

void log_server(log_code code, const backend_server_entry& entry,
                const char* suffix, gateway_commands& out)
{
    out.push_back(gateway_log{
        static_cast<std::uint32_t>(code),
        "server=" + entry.name + " address=" + to_string(entry.address) +
            " draining=" + (entry.draining ? "yes" : "no") +
            " born_ms=" + std::to_string(entry.born_ms) +
            " sequence=" + std::to_string(entry.sequence) + suffix});
}

} // namespace

server_directory::server_directory(server_table& servers) : m_servers(servers)
{
}

std::vector<backend_server_id>
server_directory::reported(const servers_reported& report, time_point now,
                           gateway_commands& out)
{
    std::set<backend_server_id> listed;
    std::vector<backend_server_id> started;
    const bool first = m_servers.size() == 0;
    gateway_commands lines;
    for (const backend_server_entry& entry : report.entries) {
        if (put(entry, now, lines) == put_result::started) {
            started.push_back(entry.id);
        }
        listed.insert(entry.id);
    }
    // A VM that starts would write a line for each server else.
    if (first && started.size() > 1) {
        out.push_back(
            gateway_log{static_cast<std::uint32_t>(log_code::server_listed),
                        "servers=" + std::to_string(started.size())});
    } else {
        std::move(lines.begin(), lines.end(), std::back_inserter(out));
    }
    if (!report.whole_list) {
        return started;
    }
    for (const backend_server_id id : m_servers.all()) {
        if (listed.count(id) == 0) {
            mark_unlisted(*m_servers.find(id), now, out);
        }
    }
    return started;
}

// Only stale reports and changes in the use of a server are logged; most
// reports change nothing.
put_result server_directory::put(const backend_server_entry& entry,
                                 time_point now, gateway_commands& out)
{
    const server_row* known = m_servers.find(entry.id);
    const bool listed = known != nullptr && !known->unlisted_at;
    const bool was_draining = known != nullptr && known->entry.draining;
    const put_result result = m_servers.put(entry, now);
    switch (result) {
    case put_result::stale:
        log_server(log_code::server_report_stale, entry, "", out);
        break;
    case put_result::started:
        log_server(log_code::server_listed, entry, "", out);
        break;
    case put_result::updated:
        if (!listed) {
            log_server(log_code::server_listed, entry, " again=yes", out);
        } else if (entry.draining != was_draining) {
            log_server(log_code::server_drain_changed, entry, "", out);
        }
        break;
    }
    return result;
}

void server_directory::unlisted(backend_server_id server, time_point now,
                                gateway_commands& out)
{
    if (server_row* row = m_servers.find(server)) {
        mark_unlisted(*row, now, out);
    }
}

void server_directory::contact_changed(
    const store_reachability_changed& contact, time_point now)
{
    if (contact.reachable != m_store_reachable) {
        m_store_reachable = contact.reachable;
        m_store_contact_since = now;
    }
}

void server_directory::store_restored(time_point now)
{
    m_store_contact_since = now;
    m_rewritten_by = now + relist_period;
}

void server_directory::drop_unlisted(time_point now)
{
    for (const backend_server_id id : m_servers.all()) {
        const server_row& row = *m_servers.find(id);
        if (row.unlisted_at && now >= *row.unlisted_at &&
            row.outstanding.empty()) {
            m_servers.remove(id);
        }
    }
}

void server_directory::mark_unlisted(server_row& row, time_point now,
                                     gateway_commands& out) const
{
    if (row.unlisted_at) {
        return;
    }
    const time_point reachable_since =
        m_store_reachable ? m_store_contact_since : now;
    row.unlisted_at = std::max(now, reachable_since + relist_period);
    row.entry_lost = now < m_rewritten_by;
    const bool may_lapse = *row.unlisted_at > now;
    log_server(log_code::server_unlisted, row.entry,
               may_lapse ? " may_lapse=yes" : " may_lapse=no", out);
}

server_observer::server_observer(server_table& servers) : m_servers(servers) {}

void server_observer::sent(backend_server_id server, exchange_id exchange,
                           time_point now)
{
    server_row* row = m_servers.find(server);
    if (row == nullptr) {
        return;
    }
    row->outstanding.push_back({exchange, now});
    if (row->last_sent_at != time_point()) {
        const duration gap = now - row->last_sent_at;
        row->send_gap = row->send_gap == duration(0)
                            ? gap
                            : row->send_gap + (gap - row->send_gap) / smoothing;
    }
    row->last_sent_at = now;
}

void server_observer::answered(backend_server_id server, exchange_id exchange,
                               bool run, time_point now)
{
    server_row* row = m_servers.find(server);
    if (row == nullptr) {
        return;
    }
    const auto sent_at = take_outstanding(*row, exchange);
    if (!run) {
        return;
    }
    row->failures_in_row = 0;
    row->avoid_until = time_point();
    if (sent_at) {
        const duration taken = now - *sent_at;
        row->latency = row->latency == duration(0)
                           ? taken
                           : row->latency + (taken - row->latency) / smoothing;
        row->latency_at = now;
        row->connected_until = now + connection_life;
    }
}

void server_observer::cold(backend_server_id server, duration remaining,
                           time_point now)
{
    if (server_row* row = m_servers.find(server)) {
        row->cold_until = now + remaining;
    }
}

bool server_observer::leaving(backend_server_id server)
{
    server_row* row = m_servers.find(server);
    return row != nullptr && !std::exchange(row->leaving, true);
}

// Answers may overtake each other, so the longest wait holds.
void server_observer::closed(backend_server_id server, duration wait,
                             time_point now)
{
    if (server_row* row = m_servers.find(server)) {
        row->closed_until =
            std::max(row->closed_until, now + std::min(wait, max_closed));
    }
}

void server_observer::failed(backend_server_id server, exchange_id exchange,
                             time_point now)
{
    if (server_row* row = m_servers.find(server)) {
        take_outstanding(*row, exchange);
        avoid(*row, now);
    }
}

void server_observer::cancelled(backend_server_id server, exchange_id exchange,
                                time_point now)
{
    server_row* row = m_servers.find(server);
    if (row == nullptr) {
        return;
    }
    const auto sent_at = take_outstanding(*row, exchange);
    // A server that has left a request unanswered for long may be stuck.
    if (sent_at &&
        now - *sent_at > std::max<duration>(min_avoid, 4 * row->latency)) {
        avoid(*row, now);
    }
}

std::optional<time_point>
server_observer::take_outstanding(server_row& row, exchange_id exchange)
{
    const auto found = std::find_if(
        row.outstanding.begin(), row.outstanding.end(),
        [&](const outstanding_exchange& o) { return o.exchange == exchange; });
    if (found == row.outstanding.end()) {
        return std::nullopt;
    }
    const time_point sent_at = found->sent_at;
    row.outstanding.erase(found);
    return sent_at;
}

void server_observer::avoid(server_row& row, time_point now)
{
    row.failures_in_row = std::min(row.failures_in_row + 1, 5U);
    const duration pause = min_avoid * (1U << (row.failures_in_row - 1));
    row.avoid_until = now + std::min(pause, max_avoid);
}

} // namespace cranberrywood
