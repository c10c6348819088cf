#include "systems/members/role_map.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

// Scope of the ids of shared groups; the groups of a data centre have its id as
// scope.
constexpr std::uint64_t shared_scope = 1;

// Hash salts that keep the ranks of holders and witnesses independent.
constexpr std::uint64_t holder_salt = 1;
constexpr std::uint64_t witness_salt = 2;

role_group_id group_at(std::uint64_t scope, std::uint64_t index)
{
    return role_group_id(stable_hash(scope, index));
}

template <class Key, class Value>
const std::vector<Value>&
find_list(const std::unordered_map<Key, std::vector<Value>>& lists, Key key)
{
    static const std::vector<Value> none;
    const auto found = lists.find(key);
    return found == lists.end() ? none : found->second;
}

} // namespace

role_map::role_map(std::shared_ptr<const settings_index> settings)
    : m_settings(std::move(settings))
{
    const fleet_settings& fleet = m_settings->fleet();
    for (std::uint32_t i = 0; i < fleet.shared_groups; ++i) {
        m_groups.push_back(group_at(shared_scope, i));
    }
    for (const auto& centre : m_settings->all().data_centres) {
        for (std::uint32_t i = 0; i < fleet.groups_per_data_centre; ++i) {
            const role_group_id group = group_at(centre.id.value(), i);
            m_groups.push_back(group);
            m_data_centre_of.emplace(group, centre.id);
        }
    }
    for (const auto& server : m_settings->all().backend_servers) {
        m_servers_of[owner_group(server)].push_back(server.id);
    }
    for (const auto& workspace : m_settings->all().workspaces) {
        m_workspaces_of[home_group(workspace.id)].push_back(workspace.id);
    }
}

const std::vector<role_group_id>& role_map::groups() const
{
    return m_groups;
}

role_group_id role_map::home_group(workspace_id workspace) const
{
    const std::uint64_t hash = stable_hash(workspace.value(), shared_scope);
    return group_at(shared_scope, hash % m_settings->fleet().shared_groups);
}

role_group_id role_map::id_group(request_id request) const
{
    const std::uint64_t hash = stable_hash(request.high, request.low);
    return group_at(shared_scope, hash % m_settings->fleet().shared_groups);
}

// The group depends only on the server and its data centre, so a change to
// other replicas of the shard does not move the server to another owner.
role_group_id role_map::owner_group(const backend_server_settings& server) const
{
    const std::uint64_t scope = server.data_centre.value();
    const std::uint64_t hash = stable_hash(server.id.value(), scope);
    return group_at(scope, hash % m_settings->fleet().groups_per_data_centre);
}

const std::vector<backend_server_id>&
role_map::servers_of(role_group_id group) const
{
    return find_list(m_servers_of, group);
}

const std::vector<workspace_id>&
role_map::workspaces_of(role_group_id group) const
{
    return find_list(m_workspaces_of, group);
}

bool role_map::is_shared(role_group_id group) const
{
    return m_data_centre_of.count(group) == 0;
}

std::vector<vm_id> role_map::candidates(role_group_id group) const
{
    std::vector<vm_id> ranked = ranked_vms(group, holder_salt);
    const auto centre = m_data_centre_of.find(group);
    if (centre == m_data_centre_of.end()) {
        return ranked;
    }
    std::stable_partition(ranked.begin(), ranked.end(), [&](vm_id vm) {
        return m_settings->find(vm)->data_centre == centre->second;
    });
    return ranked;
}

std::vector<vm_id> role_map::witnesses(role_group_id group) const
{
    std::vector<vm_id> ranked = ranked_vms(group, witness_salt);
    const std::size_t limit = m_settings->fleet().witnesses;
    if (ranked.size() > limit) {
        ranked.resize(limit);
    }
    return ranked;
}

std::vector<vm_id> role_map::ranked_vms(role_group_id group,
                                        std::uint64_t salt) const
{
    const std::uint64_t seed = stable_hash(group.value(), salt);
    std::vector<std::pair<std::uint64_t, vm_id>> scored;
    for (const auto& vm : m_settings->all().vms) {
        scored.emplace_back(stable_hash(seed, vm.id.value()), vm.id);
    }
    std::sort(scored.begin(), scored.end(),
              [](const auto& a, const auto& b) { return b < a; });
    std::vector<vm_id> ranked;
    ranked.reserve(scored.size());
    for (const auto& [score, vm] : scored) {
        ranked.push_back(vm);
    }
    return ranked;
}

} // namespace cranberrywood
