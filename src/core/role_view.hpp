#ifndef CRANBERRYWOOD_CORE_ROLE_VIEW_HPP
#define CRANBERRYWOOD_CORE_ROLE_VIEW_HPP

#include "systems/members/role_map.hpp"

namespace cranberrywood {

/** What the other systems see of the role leases. Tests mock it. */
class role_view
{
public:
    virtual ~role_view() = default;

    /** Returns whether this VM holds the group's lease at this moment. */
    virtual bool holds(role_group_id group, time_point now) const = 0;

    /** Returns the end of the lease that this VM holds on the group. */
    virtual time_point held_until(role_group_id group) const = 0;

    /** Returns the VM that most likely holds the group; may be wrong. */
    virtual vm_id believed_holder(role_group_id group) const = 0;

    /** Takes note of a holder that a peer named; unset to forget it. */
    virtual void update_believed_holder(role_group_id group, vm_id holder) = 0;

    /** Returns which groups the entities belong to. */
    virtual const role_map& map() const = 0;
};

} // namespace cranberrywood

#endif
