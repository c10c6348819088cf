#include "systems/queries/shard_router.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

bool was_tried(const query_shard_row& shard, backend_server_id server)
{
    return std::any_of(
        shard.attempts.begin(), shard.attempts.end(),
        [server](const auto& a) { return a.backend_server == server; });
}

} // namespace

shard_router::shard_router(role_view& roles, const rights_check& rights,
                           replica_choice& replicas, const version_pins& pins,
                           random_source& random)
    : m_roles(roles), m_rights(rights), m_replicas(replicas), m_pins(pins),
      m_random(random)
{
}

void shard_router::settings_changed(
    std::shared_ptr<const settings_index> settings)
{
    m_replicas.settings_changed(settings);
    m_settings = std::move(settings);
}

// Servers that were already tried are used again only when no untried server is
// left and no attempt is open.
std::vector<backend_server_id>
shard_router::usable_replicas(const query_row& query,
                              const query_shard_row& shard) const
{
    const admitted_request& request = query.request;
    std::vector<backend_server_id> untried;
    std::vector<backend_server_id> already_tried;
    for (const backend_server_id id : m_settings->replicas_of(shard.shard)) {
        const bool allowed = m_settings->in_service(*m_settings->find(id)) &&
                             m_pins.may_hold(id, query.index) &&
                             m_rights.may_run(request.rights.workspace,
                                              request.service, shard.shard, id);
        if (!allowed) {
            continue;
        }
        (was_tried(shard, id) ? already_tried : untried).push_back(id);
    }
    if (!untried.empty() || shard.has_open_attempt()) {
        return untried;
    }
    return already_tried;
}

std::optional<shard_router::route>
shard_router::find(const query_row& query, const query_shard_row& shard,
                   bool allow_cold, time_point now)
{
    const auto server = m_replicas.choose(usable_replicas(query, shard),
                                          allow_cold, m_random, now);
    if (!server) {
        return std::nullopt;
    }
    const auto group = m_roles.map().owner_group(*m_settings->find(*server));
    const vm_id owner = m_roles.believed_holder(group);
    if (!owner.is_set()) {
        return std::nullopt;
    }
    return route{*server, owner};
}

void shard_router::update_owner(const shard_result& result)
{
    const auto* server = m_settings->find(result.backend_server);
    if (server != nullptr) {
        const auto group = m_roles.map().owner_group(*server);
        m_roles.update_believed_holder(group, result.owner_hint);
    }
}

} // namespace cranberrywood
