#ifndef CRANBERRYWOOD_LOOP_DESCRIPTOR_BUDGET_HPP
#define CRANBERRYWOOD_LOOP_DESCRIPTOR_BUDGET_HPP

#include <cstddef>

namespace cranberrywood {

/** How many connections of each kind a VM may have open. */
struct descriptor_budget
{
    std::size_t callers = 0;
    std::size_t servers = 0;
    /** Connections that other VMs, operators and the balancer open. */
    std::size_t peers_in = 0;
    /** Relays and calls to the store. */
    std::size_t peers_out = 0;
};

/** Divides the descriptors of a VM, of which some are kept for files. */
descriptor_budget budget_of_descriptors(std::size_t open_files);

} // namespace cranberrywood

#endif
