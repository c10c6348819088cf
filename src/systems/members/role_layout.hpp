#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_ROLE_LAYOUT_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_ROLE_LAYOUT_HPP

#include "systems/members/role_map.hpp"

#include <memory>
#include <unordered_map>

namespace cranberrywood {

/**
 * Witness sets and candidates of all role groups under one membership. A
 * membership consists of the VM slots and the lease terms; settings revisions
 * that change neither share it.
 */
class role_layout
{
public:
    /** Number of best candidates stored for each group. */
    static constexpr std::size_t cached_candidates = 16;

    explicit role_layout(std::shared_ptr<const settings_index> settings);

    /** Returns the membership of a settings revision. */
    static revision_number membership_of(const settings_index& settings);

    /** Applies a newer settings revision of the same membership. */
    void update_settings(std::shared_ptr<const settings_index> settings);

    revision_number membership() const
    {
        return m_membership;
    }
    const role_map& map() const
    {
        return m_map;
    }
    const fleet_settings& fleet() const
    {
        return m_settings->fleet();
    }
    const settings_index& settings() const
    {
        return *m_settings;
    }

    /** Returns whether the group exists. */
    bool has(role_group_id group) const;

    /** Returns the witness set of a group; empty when it does not exist. */
    const std::vector<vm_id>& witnesses(role_group_id group) const;

    /** Returns the stored candidates of a group, best first. */
    const std::vector<vm_id>& candidates(role_group_id group) const;

    /** Returns all candidates of a group, best first. */
    const std::vector<vm_id>& all_candidates(role_group_id group) const;

    /** Returns whether the first VM is a better candidate than the second. */
    bool outranks(role_group_id group, vm_id first, vm_id second) const;

private:
    struct group_sets
    {
        std::vector<vm_id> witnesses;
        std::vector<vm_id> candidates;
    };

    std::shared_ptr<const settings_index> m_settings;
    revision_number m_membership;
    role_map m_map;
    std::unordered_map<role_group_id, group_sets> m_groups;
    // Filled on demand, which is rare: only when all stored candidates of a
    // group are gone.
    mutable std::unordered_map<role_group_id, std::vector<vm_id>>
        m_all_candidates;
};

} // namespace cranberrywood

#endif
