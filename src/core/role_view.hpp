#ifndef CRANBERRYWOOD_CORE_ROLE_VIEW_HPP
#define CRANBERRYWOOD_CORE_ROLE_VIEW_HPP

#include "systems/members/role_map.hpp"

namespace cranberrywood {

/** Read interface to the role leases for other systems; mocked in tests. */
class role_view
{
public:
    virtual ~role_view() = default;

    /** Returns whether this VM currently holds the group's lease. */
    virtual bool holds(role_group_id group, time_point now) const = 0;

    /** Returns the end of the lease that this VM holds on the group. */
    virtual time_point held_until(role_group_id group) const = 0;

    /** Returns the VM believed to hold the group; may be outdated. */
    virtual vm_id believed_holder(role_group_id group) const = 0;

    /** Records a holder named by a peer; an unset holder clears it. */
    virtual void update_believed_holder(role_group_id group, vm_id holder) = 0;

    /** Returns the mapping from entities to role groups. */
    virtual const role_map& map() const = 0;
};

} // namespace cranberrywood

#endif
