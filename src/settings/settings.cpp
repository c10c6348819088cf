#include "settings/settings.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

template <class Id, class Entity>
std::unordered_map<Id, std::size_t>
positions_of(const std::vector<Entity>& entities)
{
    std::unordered_map<Id, std::size_t> positions;
    positions.reserve(entities.size());
    for (std::size_t i = 0; i < entities.size(); ++i) {
        positions.emplace(entities[i].id, i);
    }
    return positions;
}

template <class Id, class Entity>
const Entity* find_in(const std::unordered_map<Id, std::size_t>& positions,
                      const std::vector<Entity>& entities, Id id)
{
    const auto found = positions.find(id);
    return found == positions.end() ? nullptr : &entities[found->second];
}

template <class Key, class Value>
const std::vector<Value>&
list_in(const std::unordered_map<Key, std::vector<Value>>& lists, Key key)
{
    static const std::vector<Value> none;
    const auto found = lists.find(key);
    return found == lists.end() ? none : found->second;
}

template <class Entity, class Id>
std::string name_or_number(const Entity* entity, Id id)
{
    return entity != nullptr ? entity->name : std::to_string(id.value());
}

} // namespace

settings_index::settings_index(settings s)
    : m_settings(std::move(s)),
      m_data_centres(positions_of<data_centre_id>(m_settings.data_centres)),
      m_vms(positions_of<vm_id>(m_settings.vms)),
      m_services(positions_of<service_id>(m_settings.services)),
      m_shards(positions_of<shard_id>(m_settings.shards)),
      m_backend_servers(
          positions_of<backend_server_id>(m_settings.backend_servers)),
      m_workspaces(positions_of<workspace_id>(m_settings.workspaces))
{
    for (const auto& shard : m_settings.shards) {
        m_shards_of[shard.service].push_back(shard.id);
    }
    for (auto& [service, shards] : m_shards_of) {
        std::sort(shards.begin(), shards.end(), [this](auto a, auto b) {
            return find(a)->keys.first < find(b)->keys.first;
        });
    }
    for (const auto& server : m_settings.backend_servers) {
        m_replicas_of[server.shard].push_back(server.id);
    }
}

const data_centre_settings* settings_index::find(data_centre_id id) const
{
    return find_in(m_data_centres, m_settings.data_centres, id);
}

const vm_settings* settings_index::find(vm_id id) const
{
    return find_in(m_vms, m_settings.vms, id);
}

const service_settings* settings_index::find(service_id id) const
{
    return find_in(m_services, m_settings.services, id);
}

const shard_settings* settings_index::find(shard_id id) const
{
    return find_in(m_shards, m_settings.shards, id);
}

const backend_server_settings* settings_index::find(backend_server_id id) const
{
    return find_in(m_backend_servers, m_settings.backend_servers, id);
}

const workspace_settings* settings_index::find(workspace_id id) const
{
    return find_in(m_workspaces, m_settings.workspaces, id);
}

const std::vector<shard_id>& settings_index::shards_of(service_id id) const
{
    return list_in(m_shards_of, id);
}

const std::vector<backend_server_id>&
settings_index::replicas_of(shard_id id) const
{
    return list_in(m_replicas_of, id);
}

bool settings_index::in_service(const backend_server_settings& server) const
{
    const data_centre_settings* centre = find(server.data_centre);
    return server.in_service && centre != nullptr && centre->in_service;
}

std::string settings_index::name_of(vm_id id) const
{
    return name_or_number(find(id), id);
}

std::string settings_index::name_of(backend_server_id id) const
{
    return name_or_number(find(id), id);
}

std::string settings_index::name_of(workspace_id id) const
{
    return name_or_number(find(id), id);
}

} // namespace cranberrywood
