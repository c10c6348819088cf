#include "tables/server_table.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

/** Departed servers whose last reports are kept. */
constexpr std::size_t max_departed = 20000;

/** Returns whether an entry comes from another start of the server. */
bool restarted(const backend_server_entry& known,
               const backend_server_entry& entry)
{
    return known.born_ms != entry.born_ms || known.address != entry.address;
}

} // namespace

put_result server_table::put(const backend_server_entry& entry, time_point now)
{
    if (is_stale(entry)) {
        return put_result::stale;
    }
    auto [it, added] = m_rows.try_emplace(entry.id);
    server_row& row = it->second;
    if (!added && row.entry.service != entry.service) {
        unindex(entry.id, row.entry.service);
    }
    const bool fresh = added || restarted(row.entry, entry);
    if (added || row.entry.service != entry.service) {
        index(entry.id, entry.service);
    }
    row.entry = entry;
    row.unlisted_at.reset();
    row.entry_lost = false;
    if (fresh) {
        row.latency = duration(0);
        row.failures_in_row = 0;
        row.avoid_until = time_point();
        row.suspicions_in_row = 0;
        row.suspected_until = time_point();
        row.closed_until = time_point();
        row.leaving = false;
    }
    row.cold_until = entry.cold_remaining > duration(0)
                         ? now + entry.cold_remaining
                         : time_point();
    return fresh ? put_result::started : put_result::updated;
}

// Reports may be written late: after a later report of the server, or after
// its entry was removed. A server that lives reports with a new number, unless
// the store lost its entry.
bool server_table::is_stale(const backend_server_entry& entry) const
{
    if (const server_row* row = find(entry.id)) {
        return is_late_report(row->entry, entry,
                              !row->unlisted_at || row->entry_lost);
    }
    const auto departed = m_departed.find(entry.id);
    return departed != m_departed.end() &&
           is_late_report(departed->second.entry, entry,
                          departed->second.entry_lost);
}

void server_table::remove(backend_server_id id)
{
    const auto found = m_rows.find(id);
    if (found == m_rows.end()) {
        return;
    }
    const backend_server_entry& entry = found->second.entry;
    if (m_departed.size() >= max_departed) {
        m_departed.clear();
    }
    unindex(id, entry.service);
    m_departed[id] = {entry, found->second.entry_lost};
    m_rows.erase(found);
}

server_row* server_table::find(backend_server_id id)
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() ? nullptr : &found->second;
}

const server_row* server_table::find(backend_server_id id) const
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() ? nullptr : &found->second;
}

const std::vector<backend_server_id>&
server_table::of_service(service_id service) const
{
    static const std::vector<backend_server_id> none;
    const auto found = m_services.find(service);
    return found == m_services.end() ? none : found->second;
}

std::vector<backend_server_id> server_table::all() const
{
    std::vector<backend_server_id> ids;
    ids.reserve(m_rows.size());
    for (const auto& [id, row] : m_rows) {
        ids.push_back(id);
    }
    return ids;
}

// Ids are kept in order, so that equal tables give equal choices.
void server_table::index(backend_server_id id, service_id service)
{
    auto& ids = m_services[service];
    ids.insert(std::lower_bound(ids.begin(), ids.end(), id), id);
}

void server_table::unindex(backend_server_id id, service_id service)
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return;
    }
    auto& ids = found->second;
    ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end());
    if (ids.empty()) {
        m_services.erase(found);
    }
}

} // namespace cranberrywood
