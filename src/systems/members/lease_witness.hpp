#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_LEASE_WITNESS_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_LEASE_WITNESS_HPP

#include "core/messages.hpp"
#include "core/node_identity.hpp"
#include "systems/members/lease_policy.hpp"
#include "systems/members/memberships.hpp"

#include <unordered_map>
#include <unordered_set>

namespace cranberrywood {

/**
 * Witness side of the role leases: a table of which process of which VM holds
 * this VM's grant for each role group, and until when. The table is not
 * persisted; after a start, the witness grants nothing for one lease period.
 */
class lease_witness
{
public:
    lease_witness(const node_identity& self, const lease_policy& policy);

    /** Grants or refuses the groups of an ask under the membership in force. */
    lease_grant ask(vm_id from, const lease_ask& message,
                    const memberships& members, time_point now);

    /** Ends the leases that the sender released. */
    void release(vm_id from, const lease_release& message);

    /** Leaves the leases of a VM's former process to expire. */
    void peer_restarted(vm_id vm);

    /**
     * Applies a change of membership. For a bounded time, groups whose witness
     * set changed are granted only to VMs that know the change.
     */
    void membership_changed(const memberships& members);

    /** Returns the VM that holds the grant; unset when nobody does. */
    vm_id holder(role_group_id group, time_point now) const;

    /** Returns whether grants from before the start may still be valid. */
    bool is_recovering(const role_layout& layout, time_point now) const;

    /** Removes the expired entries and returns their holders. */
    std::vector<group_holder> remove_expired(time_point now);

    /** Returns the number of entries. */
    std::size_t size() const;

private:
    struct entry
    {
        vm_id holder;
        time_point until;
        std::uint64_t round = 0;
        /** The process that holds it has been replaced since. */
        bool held_by_former = false;
    };

    bool may_grant(vm_id from, role_group_id group, bool knows_change,
                   time_point now) const;

    node_identity m_self;
    const lease_policy& m_policy;
    std::unordered_map<role_group_id, entry> m_entries;
    std::unordered_set<role_group_id> m_changed_groups;
    time_point m_unrestricted_from;
};

} // namespace cranberrywood

#endif
