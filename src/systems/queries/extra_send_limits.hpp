#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_EXTRA_SEND_LIMITS_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_EXTRA_SEND_LIMITS_HPP

#include "systems/queries/extra_send_budget.hpp"
#include "units/ids.hpp"

#include <unordered_map>

namespace cranberrywood {

/** Limits on the extra sends of one service, over all VMs together. */
struct extra_send_terms
{
    /** Extra sends per window, in percent of the service's requests. */
    std::uint32_t percent = 20;
    /** Extra sends per window in addition. */
    double allowance = 50.0;
    /** The fleet starts for the first time: no earlier process spent any. */
    bool first_start = false;
};

/**
 * This VM's budgets of extra sends, one per service. A budget starts with a
 * part of the VM's share of the fixed allowance, and earns a share of each
 * request. The sum over all VMs stays within the limits of any window, also
 * when all processes restart in it.
 */
class extra_send_limits
{
public:
    extra_send_limits(const extra_send_terms& terms, std::uint32_t vms);

    /** Divides the fixed allowance among a changed number of VMs. */
    void fleet_changed(std::uint32_t vms);
    /** Credits a request for the service, whether sent or not. */
    void count_request(service_id service);
    /** Spends one extra send; returns false when there is none. */
    bool take(service_id service);

private:
    extra_send_budget& budget_of(service_id service);
    std::uint64_t share_of_allowance(double share) const;
    std::uint64_t starting_credit() const;

    extra_send_terms m_terms;
    std::uint32_t m_vms;
    std::unordered_map<service_id, extra_send_budget> m_budgets;
};

} // namespace cranberrywood

#endif
