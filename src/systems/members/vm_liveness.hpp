#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_VM_LIVENESS_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_VM_LIVENESS_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

namespace cranberrywood {

/** Liveness of VMs as other systems query it. Tests replace it. */
class vm_liveness
{
public:
    virtual ~vm_liveness() = default;

    /** Returns whether a VM is probably running; never a proof. */
    virtual bool is_likely_alive(vm_id vm, time_point now) const = 0;

    /** Returns whether a VM is known to be leaving. */
    virtual bool is_leaving(vm_id vm) const = 0;
};

} // namespace cranberrywood

#endif
