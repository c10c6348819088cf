#include "systems/lookups/lookup_router.hpp"

#include <algorithm>

namespace cranberrywood {

lookup_router::lookup_router(const role_view& roles, const rights_check& rights,
                             const replica_choice& replicas, version_pins& pins,
                             random_source& random)
    : m_roles(roles), m_rights(rights), m_replicas(replicas), m_pins(pins),
      m_random(random)
{
}

void lookup_router::settings_changed(
    std::shared_ptr<const settings_index> settings)
{
    m_settings = std::move(settings);
}

const shard_settings* lookup_router::shard_of(const lookup_ask& ask) const
{
    for (const shard_id id : m_settings->shards_of(ask.service)) {
        const shard_settings* shard = m_settings->find(id);
        if (shard->keys.first <= ask.lookup_key &&
            ask.lookup_key <= shard->keys.last) {
            return shard;
        }
    }
    return nullptr;
}

std::optional<lookup_target>
lookup_router::pick(const lookup_ask& ask,
                    const std::vector<backend_server_id>& excluded,
                    time_point now)
{
    const shard_settings* shard = shard_of(ask);
    if (shard == nullptr) {
        return std::nullopt;
    }
    const index_version index = m_pins.pin(ask.service, *m_settings);
    std::vector<backend_server_id> usable;
    for (const auto id : m_settings->replicas_of(shard->id)) {
        const bool taken =
            std::find(excluded.begin(), excluded.end(), id) != excluded.end();
        if (!taken && m_settings->in_service(*m_settings->find(id)) &&
            m_pins.may_hold(id, index) &&
            m_rights.may_run(ask.workspace, ask.service, shard->id, id)) {
            usable.push_back(id);
        }
    }
    const auto server = m_replicas.choose(usable, true, m_random, now);
    if (!server) {
        return std::nullopt;
    }
    const auto group = m_roles.map().owner_group(*m_settings->find(*server));
    const vm_id owner = m_roles.believed_holder(group);
    if (!owner.is_set()) {
        return std::nullopt;
    }
    const auto map = m_settings->find(ask.service)->map;
    return lookup_target{*server, shard->id, shard->keys, map, index, owner};
}

} // namespace cranberrywood
