#include "systems/queries/extra_send_limits.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

/** Share of the allowed percentage that is used, in percent. */
constexpr std::uint32_t used_percent = 85;
/**
 * Parts of the fixed allowance: what a budget can hold, and what it holds when
 * a process restarts. Their sum is the whole, as a window may contain both the
 * last sends of the old processes and the first ones of the new.
 */
constexpr double held_share = 0.8;
constexpr double restart_share = 0.2;
constexpr double hundredths = 100.0;

} // namespace

extra_send_limits::extra_send_limits(const extra_send_terms& terms,
                                     std::uint32_t vms)
    : m_terms(terms), m_vms(std::max(1U, vms))
{
}

// Budgets that were divided by an assumed number of VMs are divided anew, so
// that they start with what the known number gives them.
void extra_send_limits::fleet_changed(std::uint32_t vms)
{
    const std::uint32_t previous = m_vms;
    m_vms = std::max(1U, vms);
    for (auto& [service, budget] : m_budgets) {
        budget.rescale(previous, m_vms);
        budget.set_capacity(share_of_allowance(held_share));
    }
}

void extra_send_limits::count_request(service_id service)
{
    budget_of(service).first_sends(1, m_terms.percent * used_percent / 100);
}

bool extra_send_limits::take(service_id service)
{
    return budget_of(service).take();
}

extra_send_budget& extra_send_limits::budget_of(service_id service)
{
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end()) {
        return found->second;
    }
    auto budget =
        extra_send_budget::with_capacity(share_of_allowance(held_share));
    budget.add_credit(starting_credit());
    return m_budgets.emplace(service, budget).first->second;
}

std::uint64_t extra_send_limits::starting_credit() const
{
    return share_of_allowance(m_terms.first_start ? held_share : restart_share);
}

std::uint64_t extra_send_limits::share_of_allowance(double share) const
{
    return static_cast<std::uint64_t>(m_terms.allowance * share * hundredths /
                                      m_vms);
}

} // namespace cranberrywood
