#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_ROLE_LAYOUT_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_ROLE_LAYOUT_HPP

#include "systems/members/role_map.hpp"

#include <memory>
#include <unordered_map>

namespace cranberrywood {

/**
 * Witness sets and candidates of all role groups under one membership: the
 * VM slots with the lease terms. Settings revisions that leave these as they
 * are share a membership.
 */
class role_layout
{
public:
    /** Candidates of a group that are kept at hand. */
    static constexpr std::size_t cached_candidates = 16;

    explicit role_layout(std::shared_ptr<const settings_index> settings);

    /** Returns the membership that a revision of the settings has. */
    static revision_number membership_of(const settings_index& settings);

    /** Takes a newer revision of the same membership. */
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

    /** Returns the witness set of a group; none when it does not exist. */
    const std::vector<vm_id>& witnesses(role_group_id group) const;

    /** Returns the first candidates of a group, the best first. */
    const std::vector<vm_id>& candidates(role_group_id group) const;

    /** Returns all candidates of a group, the best first. */
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
    // Filled on demand: it takes all near candidates of a group to be gone.
    mutable std::unordered_map<role_group_id, std::vector<vm_id>> m_ranked;
};

} // namespace cranberrywood

#endif
