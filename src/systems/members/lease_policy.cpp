#include "systems/members/lease_policy.hpp"

namespace cranberrywood {

namespace {

constexpr std::int64_t million = 1000000;

} // namespace

std::size_t lease_policy::majority(std::size_t witnesses) const
{
    return witnesses / 2 + 1;
}

// The witness counts the lease from the arrival of the ask, so the holder
// counts it from the earlier send time. The drift is subtracted because the
// holder's clock may run slower than the witness's.
time_point lease_policy::holder_expiry(time_point sent, time_point /*received*/,
                                       const fleet_settings& fleet) const
{
    const duration per_ppm = fleet.lease / million + duration(1);
    const duration drift = per_ppm * fleet.clock_drift_ppm;
    return sent + fleet.lease - drift;
}

// The witness may have granted a lease just before it restarted and lost its
// table. The holder's clock is at most as slow as holder_expiry allows for.
time_point lease_policy::first_grant_time(time_point started,
                                          const fleet_settings& fleet) const
{
    return started + fleet.lease;
}

bool lease_policy::same_membership(revision_number own,
                                   revision_number asked) const
{
    return own == asked;
}

bool lease_policy::release_covers(std::uint64_t released,
                                  std::uint64_t asked) const
{
    return released >= asked;
}

bool lease_policy::former_lease_blocks_renewal() const
{
    return true;
}

bool lease_policy::excludes(vm_id holder, vm_id asker) const
{
    return holder != asker;
}

bool lease_policy::requires_old_set() const
{
    return true;
}

const lease_policy& default_lease_policy()
{
    static const lease_policy policy;
    return policy;
}

} // namespace cranberrywood
