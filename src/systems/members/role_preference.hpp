#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_ROLE_PREFERENCE_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_ROLE_PREFERENCE_HPP

#include "core/node_identity.hpp"
#include "systems/members/lease_witness.hpp"
#include "systems/members/memberships.hpp"
#include "systems/members/vm_liveness.hpp"

#include <unordered_map>

namespace cranberrywood {

/**
 * Decides which role groups this VM should seek: those of which it is the best
 * usable candidate, and those that stay vacant although better candidates seem
 * usable. A VM is usable when it is likely alive and not leaving.
 */
class role_preference
{
public:
    role_preference(const node_identity& self, const vm_liveness& liveness,
                    const memberships& members, const lease_witness& witness);

    /** Records that a group seems to have no holder. */
    void note_vacant(role_group_id group, time_point now);

    /** Records that some VM seems to hold a group. */
    void note_held(role_group_id group);

    /** Starts a pass over the groups, of which calls of wants() are part. */
    void start_pass(time_point now);

    /** Returns whether this VM should seek a group. */
    bool wants(role_group_id group, time_point now);

    /** Returns whether a VM is likely alive. */
    bool is_alive(vm_id vm, time_point now) const;

    /** Returns whether a VM is likely alive and not leaving. */
    bool is_usable(vm_id vm, time_point now) const;

    /** Returns the best usable candidate except one VM, or unset. */
    vm_id best_usable(role_group_id group, vm_id except, time_point now) const;

    /**
     * Takes the groups for which this VM is on standby without being a
     * witness; a witness should be queried for their holders.
     */
    std::vector<role_group_id> take_unwitnessed();

private:
    std::size_t usable_ahead(role_group_id group, time_point now) const;
    std::size_t usable_before_self(const std::vector<vm_id>& ranked,
                                   time_point now) const;
    void check_holder(role_group_id group, time_point now);

    node_identity m_self;
    const vm_liveness& m_liveness;
    const memberships& m_members;
    const lease_witness& m_witness;
    std::unordered_map<role_group_id, time_point> m_vacant_since;
    std::vector<role_group_id> m_unwitnessed;
    time_point m_next_query;
    bool m_query_due = false;
};

} // namespace cranberrywood

#endif
