#include "systems/servers/cold_limits.hpp"

#include "core/log_codes.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

/**
 * VMs that share the rate R of a cold server: R / 2 + 5 at most. Each may send
 * one request at once and then keeps its spacing, so a server gets up to R and
 * one for each in a second; the users allow 1.5 R + 5.
 */
constexpr double sharers_per_request = 0.5;
constexpr double min_sharers = 5.0;

double most_sharers(double rate)
{
    return sharers_per_request * rate + min_sharers;
}

} // namespace

cold_limits::cold_limits(const server_table& servers,
                         const member_directory& members)
    : m_servers(servers), m_sharers(members)
{
}

void cold_limits::catalogue_changed(std::shared_ptr<const catalogue> limits)
{
    m_settings = std::move(limits);
}

const service_entry* cold_limits::find_limit(service_id service) const
{
    if (m_settings == nullptr) {
        return nullptr;
    }
    const auto found = m_settings->services().find(service);
    const bool has_limit =
        found != m_settings->services().end() && found->second.cold_rate > 0.0;
    return has_limit ? &found->second : nullptr;
}

bool cold_limits::has_limit(const server_row& row) const
{
    return find_limit(row.entry.service) != nullptr;
}

void cold_limits::refused(backend_server_id server, time_point now,
                          gateway_commands& out)
{
    const server_row* row = m_servers.find(server);
    const service_entry* limit =
        row == nullptr ? nullptr : find_limit(row->entry.service);
    if (limit == nullptr) {
        return;
    }
    state& s = m_states[server];
    if (now >= s.cold_until) {
        out.push_back(gateway_log{
            static_cast<std::uint32_t>(log_code::server_taken_for_cold),
            "server=" + row->entry.name +
                " per_second=" + std::to_string(limit->cold_rate)});
    }
    s.cold_until = now + limit->cold_period;
}

time_point cold_limits::cold_until(const server_row& row) const
{
    const auto known = m_states.find(row.entry.id);
    return known == m_states.end()
               ? row.cold_until
               : std::max(row.cold_until, known->second.cold_until);
}

time_point cold_limits::opens_at(const server_row& row, time_point now)
{
    const time_point warm_at = cold_until(row);
    if (now >= warm_at) {
        return now;
    }
    const service_entry* limit = find_limit(row.entry.service);
    if (limit == nullptr) {
        return now;
    }
    const double rate = limit->cold_rate;
    if (!m_sharers.spacing(row.entry.id, rate, most_sharers(rate), now)) {
        return warm_at;
    }
    const auto known = m_states.find(row.entry.id);
    const time_point next =
        known == m_states.end() ? now : known->second.next_at;
    return std::min(warm_at, std::max(now, next));
}

// Requests to a warm server are recorded too: it may be cold a moment later.
void cold_limits::record_sent(const server_row& row, time_point now)
{
    const service_entry* limit = find_limit(row.entry.service);
    if (limit == nullptr) {
        return;
    }
    const double rate = limit->cold_rate;
    const auto spacing =
        m_sharers.spacing(row.entry.id, rate, most_sharers(rate), now);
    if (spacing) {
        m_states[row.entry.id].next_at = now + *spacing;
    }
}

void cold_limits::drop_expired(time_point now)
{
    for (auto it = m_states.begin(); it != m_states.end();) {
        const bool gone = m_servers.find(it->first) == nullptr;
        const bool over =
            now >= it->second.next_at && now >= it->second.cold_until;
        if (gone) {
            m_sharers.forget(it->first);
        }
        it = gone || over ? m_states.erase(it) : std::next(it);
    }
}

} // namespace cranberrywood
