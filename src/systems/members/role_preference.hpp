#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_ROLE_PREFERENCE_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_ROLE_PREFERENCE_HPP

#include "core/node_identity.hpp"
#include "systems/members/lease_witness.hpp"
#include "systems/members/memberships.hpp"
#include "systems/members/vm_liveness.hpp"

#include <unordered_map>

namespace cranberrywood {

/**
 * Decides which role groups this VM ought to seek: those of which it is the
 * best candidate that lives and stays, and those that stay vacant although
 * better candidates seem to live.
 */
class role_preference
{
public:
    role_preference(const node_identity& self, const vm_liveness& liveness,
                    const memberships& members, const lease_witness& witness);

    /** Takes note that a group seems to have no holder. */
    void note_vacant(role_group_id group, time_point now);

    /** Takes note that a VM seems to hold a group. */
    void note_held(role_group_id group);

    /** Starts a pass over the groups; wants() belongs to the pass. */
    void start_pass(time_point now);

    /** Returns whether this VM ought to seek a group. */
    bool wants(role_group_id group, time_point now);

    /** Returns whether a VM lives, as far as is known. */
    bool is_alive(vm_id vm, time_point now) const;

    /** Returns whether a VM lives and stays, as far as is known. */
    bool is_usable(vm_id vm, time_point now) const;

    /** Returns the best usable candidate other than one VM, or unset. */
    vm_id best_usable(role_group_id group, vm_id except, time_point now) const;

    /**
     * Takes the groups that this VM stands by for and that it is no witness
     * of; a witness ought to be asked who holds them.
     */
    std::vector<role_group_id> take_unwitnessed();

private:
    std::size_t usable_ahead(role_group_id group, time_point now) const;
    std::size_t usable_before_self(const std::vector<vm_id>& ranked,
                                   time_point now) const;
    void watch(role_group_id group, time_point now);

    node_identity m_self;
    const vm_liveness& m_liveness;
    const memberships& m_members;
    const lease_witness& m_witness;
    std::unordered_map<role_group_id, time_point> m_vacant_since;
    std::vector<role_group_id> m_unwitnessed;
    time_point m_next_watch;
    bool m_watching = false;
};

} // namespace cranberrywood

#endif
