#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_LEASE_POLICY_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_LEASE_POLICY_HPP

#include "settings/settings.hpp"

#include <cstddef>

namespace cranberrywood {

/**
 * The rules on which the exclusiveness of leases rests, each apart, so that
 * tests can break one at a time and see that their checker notices.
 */
class lease_policy
{
public:
    virtual ~lease_policy() = default;

    /** Returns how many witnesses of a set have to grant. */
    virtual std::size_t majority(std::size_t witnesses) const;

    /** Returns when a granted lease ends by its holder's clock. */
    virtual time_point holder_expiry(time_point sent, time_point received,
                                     const fleet_settings& fleet) const;

    /** Returns when a witness may grant that started at a time. */
    virtual time_point first_grant_time(time_point started,
                                        const fleet_settings& fleet) const;

    /** Returns whether asks of one membership may be granted in another. */
    virtual bool same_membership(revision_number own,
                                 revision_number asked) const;

    /** Returns whether a release ends a lease last asked for in a round. */
    virtual bool release_covers(std::uint64_t released,
                                std::uint64_t asked) const;

    /** Returns whether the lease of a former process binds its successor. */
    virtual bool former_lease_blocks_renewal() const;

    /** Returns whether an unexpired lease keeps out another asker. */
    virtual bool excludes(vm_id holder, vm_id asker) const;

    /** Returns whether acquisitions after a change need the old set too. */
    virtual bool requires_old_set() const;
};

/** Returns the policy in force outside of tests. */
const lease_policy& default_lease_policy();

} // namespace cranberrywood

#endif
