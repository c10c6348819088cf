#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_LEASE_POLICY_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_LEASE_POLICY_HPP

#include "settings/settings.hpp"

#include <cstddef>

namespace cranberrywood {

/**
 * The rules that make leases exclusive, one function each, so that tests can
 * break a single rule and verify that their checker detects it.
 */
class lease_policy
{
public:
    virtual ~lease_policy() = default;

    /** Returns how many witnesses of a set must grant a lease. */
    virtual std::size_t majority(std::size_t witnesses) const;

    /** Returns when a granted lease expires by its holder's clock. */
    virtual time_point holder_expiry(time_point sent, time_point received,
                                     const fleet_settings& fleet) const;

    /** Returns when a witness that started at a time may first grant. */
    virtual time_point first_grant_time(time_point started,
                                        const fleet_settings& fleet) const;

    /** Returns whether an ask's membership matches the witness's own. */
    virtual bool same_membership(revision_number own,
                                 revision_number asked) const;

    /** Returns whether a release covers a lease last asked for in a round. */
    virtual bool release_covers(std::uint64_t released,
                                std::uint64_t asked) const;

    /** Returns whether a VM's new process cannot renew its former lease. */
    virtual bool former_lease_blocks_renewal() const;

    /** Returns whether an unexpired lease excludes another asker. */
    virtual bool excludes(vm_id holder, vm_id asker) const;

    /** Returns whether acquisitions after a change need the old set too. */
    virtual bool requires_old_set() const;
};

/** Returns the policy in force outside of tests. */
const lease_policy& default_lease_policy();

} // namespace cranberrywood

#endif
