#include "systems/servers/owner_dispatch.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

// Peer sessions drop repeated messages. The sets of seen ids, with these
// retention times, catch a sub-request that its entry VM repeats in a new
// message.
constexpr duration repeatable_retention = std::chrono::seconds(2);
constexpr duration non_repeatable_retention = std::chrono::seconds(60);

// With fewer connections than this, two owners cannot have one each while a
// role moves.
constexpr std::uint32_t connections_for_two_owners = 2;

} // namespace

owner_dispatch::owner_dispatch(const role_view& roles, const send_gate& gate,
                               random_source& random)
    : m_roles(roles), m_sender(roles, gate, m_merger),
      m_links(m_sender, random), m_seen_repeatable(repeatable_retention),
      m_seen_non_repeatable(non_repeatable_retention)
{
}

void owner_dispatch::settings_changed(
    std::shared_ptr<const settings_index> settings, time_point now, outbox& out)
{
    m_settings = std::move(settings);
    m_sender.settings_changed(m_settings);
    for (auto& [id, row] : m_servers) {
        apply_settings(row, now, out);
    }
}

void owner_dispatch::apply_settings(owned_server& row, time_point now,
                                    outbox& out)
{
    const auto* server = m_settings->find(row.id);
    const auto* service =
        server == nullptr ? nullptr : m_settings->find(server->service);
    if (service != nullptr) {
        row.service = *service;
        row.window.limits_changed(*service);
        row.queue.set_limit(service->queue_limit);
    }
    const bool was_in_service = row.in_service;
    row.in_service = service != nullptr && m_settings->in_service(*server);
    if (!row.in_service) {
        m_sender.end_queue(row, shard_outcome::out_of_service);
    } else if (!was_in_service) {
        row.window.reset_to_cold(now);
    }
    m_sender.send_queued(row, now, out);
}

void owner_dispatch::start_owning(backend_server_id server, time_point now,
                                  outbox& out)
{
    if (owned_server* row = find_row(server)) {
        resume_owning(*row, now, out);
        return;
    }
    const auto* known = m_settings ? m_settings->find(server) : nullptr;
    if (known == nullptr) {
        return;
    }
    const auto* service = m_settings->find(known->service);
    const role_group_id group = m_roles.map().owner_group(*known);
    auto& row =
        m_servers.try_emplace(server, *known, *service, group).first->second;
    row.in_service = m_settings->in_service(*known);
    row.window.reset_to_cold(now);
    if (row.in_service) {
        m_links.open(row, out);
    }
}

// If the role was lost, another VM may have sent requests to the server in
// the meantime, so the window restarts from the cold limit. A role that was
// only draining has not moved, and its window is kept.
void owner_dispatch::resume_owning(owned_server& row, time_point now,
                                   outbox& out)
{
    row.draining = false;
    if (!std::exchange(row.stopping, false)) {
        return;
    }
    row.window.reset_to_cold(now);
    if (row.link == link_state::closed && row.in_service) {
        m_links.open(row, out);
    }
}

void owner_dispatch::stop_owning(backend_server_id server, time_point now,
                                 outbox& out)
{
    owned_server* row = find_row(server);
    if (row == nullptr) {
        return;
    }
    row->stopping = true;
    m_sender.end_queue(*row, shard_outcome::not_owner);
    if (can_remove(*row, now)) {
        m_links.close(*row, out);
        m_servers.erase(server);
    }
}

bool owner_dispatch::can_remove(const owned_server& row, time_point now)
{
    if (row.service.connections < connections_for_two_owners) {
        return true;
    }
    return std::all_of(
        row.in_flight.begin(), row.in_flight.end(),
        [now](const auto& sent) { return now >= sent.second.deadline; });
}

void owner_dispatch::drain(backend_server_id server)
{
    if (owned_server* row = find_row(server)) {
        row->draining = true;
    }
}

bool owner_dispatch::idle(backend_server_id server) const
{
    const owned_server* row = find(server);
    return row == nullptr || row->idle();
}

void owner_dispatch::receive(vm_id from, const owner_request& request,
                             time_point now, outbox& out)
{
    const std::vector<shard_ask> fresh = drop_repeated_asks(request, now);
    if (fresh.empty()) {
        return;
    }
    const auto query = m_merger.record(from, request, now);
    for (const auto& ask : fresh) {
        query->open_asks.emplace(ask.id, ask.backend_server);
    }
    for (const auto& ask : fresh) {
        m_sender.accept(find_row(ask.backend_server), query, ask, now, out);
    }
}

std::vector<shard_ask>
owner_dispatch::drop_repeated_asks(const owner_request& request, time_point now)
{
    auto& seen = request.repeatable ? m_seen_repeatable : m_seen_non_repeatable;
    std::vector<shard_ask> fresh;
    fresh.reserve(request.asks.size());
    for (const auto& ask : request.asks) {
        if (seen.insert(ask.id, now)) {
            fresh.push_back(ask);
        } else {
            m_sender.count_repeated();
        }
    }
    return fresh;
}

void owner_dispatch::receive(vm_id from, const owner_cancel& cancelled,
                             time_point now, outbox& out)
{
    const auto& ids = cancelled.ids;
    for (const auto& query : m_merger.find(from, cancelled.query)) {
        const auto open_asks = query->open_asks;
        for (const auto& [id, server] : open_asks) {
            const bool wanted = ids.empty() || std::find(ids.begin(), ids.end(),
                                                         id) != ids.end();
            owned_server* row = wanted ? find_row(server) : nullptr;
            if (row != nullptr) {
                m_sender.cancel(*row, query, id, out);
                m_sender.send_queued(*row, now, out);
            }
        }
    }
}

void owner_dispatch::connected(const backend_connected& link, time_point now,
                               outbox& out)
{
    owned_server* row = find_row(link.backend_server);
    if (row == nullptr) {
        out.issue(close_backend{link.backend_server});
        return;
    }
    m_links.connected(*row, link.hello, now, out);
}

void owner_dispatch::replied(const backend_replied& arrived, time_point now,
                             outbox& out)
{
    owned_server* row = find_row(arrived.backend_server);
    if (row == nullptr) {
        m_sender.count_unmatched();
        return;
    }
    m_sender.replied(*row, arrived.reply, now);
    m_sender.send_queued(*row, now, out);
}

void owner_dispatch::lost(const backend_lost& loss, time_point now, outbox& out)
{
    if (owned_server* row = find_row(loss.backend_server)) {
        m_links.lost(*row, loss.was_connected, now, out);
    }
}

void owner_dispatch::tick(time_point now, outbox& out)
{
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        owned_server& row = it->second;
        m_sender.tick(row, now, out);
        m_links.tick(row, now, out);
        const bool remove = row.stopping && can_remove(row, now);
        if (remove) {
            m_links.close(row, out);
        }
        it = remove ? m_servers.erase(it) : std::next(it);
    }
}

void owner_dispatch::flush(time_point /*now*/, outbox& out)
{
    m_merger.flush(out);
}

std::vector<suspected_crash> owner_dispatch::take_suspected_crashes()
{
    return m_links.take_suspected_crashes();
}

std::vector<suspected_crash> owner_dispatch::take_refuted_crashes()
{
    return m_links.take_refuted_crashes();
}

std::vector<completed_part> owner_dispatch::take_completed()
{
    return m_merger.take_completed();
}

const owned_server* owner_dispatch::find(backend_server_id server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : &found->second;
}

const std::unordered_map<backend_server_id, owned_server>&
owner_dispatch::servers() const
{
    return m_servers;
}

std::size_t owner_dispatch::open_queries() const
{
    return m_merger.size();
}

const dispatch_counts& owner_dispatch::counts() const
{
    return m_sender.counts();
}

owned_server* owner_dispatch::find_row(backend_server_id server)
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : &found->second;
}

} // namespace cranberrywood
