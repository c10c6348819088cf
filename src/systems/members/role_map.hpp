#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_ROLE_MAP_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_ROLE_MAP_HPP

#include "settings/settings.hpp"

#include <memory>

namespace cranberrywood {

/**
 * Assigns entities to role groups, and ranks VMs as holders and witnesses of
 * a group by rendezvous hashing. Deterministic: equal settings give equal
 * results.
 */
class role_map
{
public:
    explicit role_map(std::shared_ptr<const settings_index> settings);

    /** Returns every role group of the fleet. */
    const std::vector<role_group_id>& groups() const;

    /** Returns the group whose holder is the home of a workspace. */
    role_group_id home_group(workspace_id workspace) const;

    /** Returns the group whose holder keeps the record of a request id. */
    role_group_id id_group(request_id request) const;

    /** Returns the group whose holder owns a backend server. */
    role_group_id owner_group(const backend_server_settings& server) const;

    /** Returns the backend servers of an owner group; empty for others. */
    const std::vector<backend_server_id>& servers_of(role_group_id group) const;

    /** Returns the workspaces whose home is the holder of a group. */
    const std::vector<workspace_id>& workspaces_of(role_group_id group) const;

    /** Returns whether the group holds homes and request ids. */
    bool is_shared(role_group_id group) const;

    /** Returns all VMs, best candidate of the group first. */
    std::vector<vm_id> candidates(role_group_id group) const;

    /** Returns the witness set of the group, by rank. */
    std::vector<vm_id> witnesses(role_group_id group) const;

private:
    std::vector<vm_id> ranked_vms(role_group_id group,
                                  std::uint64_t salt) const;

    std::shared_ptr<const settings_index> m_settings;
    std::vector<role_group_id> m_groups;
    std::unordered_map<role_group_id, data_centre_id> m_data_centre_of;
    std::unordered_map<role_group_id, std::vector<backend_server_id>>
        m_servers_of;
    std::unordered_map<role_group_id, std::vector<workspace_id>>
        m_workspaces_of;
};

} // namespace cranberrywood

#endif
