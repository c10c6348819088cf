#include "systems/servers/owner_dispatch.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

// Peer sessions drop repeated messages; these catch a repeat that an entry
// VM wrapped in a new message.
constexpr duration repeatable_seen_life = std::chrono::seconds(2);
constexpr duration once_only_seen_life = std::chrono::seconds(60);

// With fewer connections than this, two owners cannot have one each.
constexpr std::uint32_t connections_for_two_owners = 2;

} // namespace

owner_dispatch::owner_dispatch(const role_view& roles, const send_gate& gate,
                               random_source& random)
    : m_roles(roles), m_sends(roles, gate, m_merger), m_links(m_sends, random),
      m_seen(repeatable_seen_life), m_seen_once_only(once_only_seen_life)
{
}

void owner_dispatch::settings_changed(
    std::shared_ptr<const settings_index> settings, time_point now, outbox& out)
{
    m_settings = std::move(settings);
    m_sends.settings_changed(m_settings);
    for (auto& [id, row] : m_servers) {
        update(row, now, out);
    }
}

void owner_dispatch::update(owned_server& row, time_point now, outbox& out)
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
        m_sends.end_queue(row, shard_outcome::out_of_service);
    } else if (!was_in_service) {
        row.window.reset_to_cold(now);
    }
    m_sends.send_queued(row, now, out);
}

void owner_dispatch::start_owning(backend_server_id server, time_point now,
                                  outbox& out)
{
    if (owned_server* row = find_row(server)) {
        resume(*row, now, out);
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

// Another VM may have sent work to the server since the role was lost, so
// that the window starts anew. A role that was only drained has not moved.
void owner_dispatch::resume(owned_server& row, time_point now, outbox& out)
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
    m_sends.end_queue(*row, shard_outcome::not_owner);
    if (may_remove(*row, now)) {
        m_links.close(*row, out);
        m_servers.erase(server);
    }
}

bool owner_dispatch::may_remove(const owned_server& row, time_point now)
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
    const std::vector<shard_ask> fresh = fresh_asks(request, now);
    if (fresh.empty()) {
        return;
    }
    const auto query = m_merger.record(from, request, now);
    for (const auto& ask : fresh) {
        query->open_asks.emplace(ask.id, ask.backend_server);
    }
    for (const auto& ask : fresh) {
        m_sends.accept(find_row(ask.backend_server), query, ask, now, out);
    }
}

std::vector<shard_ask> owner_dispatch::fresh_asks(const owner_request& request,
                                                  time_point now)
{
    auto& seen = request.repeatable ? m_seen : m_seen_once_only;
    std::vector<shard_ask> fresh;
    fresh.reserve(request.asks.size());
    for (const auto& ask : request.asks) {
        if (seen.insert(ask.id, now)) {
            fresh.push_back(ask);
        } else {
            m_sends.count_repeated();
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
                m_sends.cancel(*row, query, id, out);
                m_sends.send_queued(*row, now, out);
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
        m_sends.count_unmatched();
        return;
    }
    m_sends.replied(*row, arrived.reply, now);
    m_sends.send_queued(*row, now, out);
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
        m_sends.tick(row, now, out);
        m_links.tick(row, now, out);
        const bool remove = row.stopping && may_remove(row, now);
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
    return m_sends.counts();
}

owned_server* owner_dispatch::find_row(backend_server_id server)
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : &found->second;
}

} // namespace cranberrywood
