#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_EXTRA_SEND_BUDGET_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_EXTRA_SEND_BUDGET_HPP

#include <cstdint>
#include <optional>

namespace cranberrywood {

/**
 * Returns the latency quantile after which sub-requests are hedged, so that
 * hedges use half of the extra sends that a service allows. The other half
 * is left for retries and for times with more stragglers.
 */
double hedge_quantile_for(std::uint32_t extra_send_percent);

/**
 * Budget of hedges and retries together, as a share of first sends. As every
 * entry VM keeps to its own, the fleet's extra load is bounded by the share.
 */
class extra_send_budget
{
public:
    extra_send_budget() = default;
    /** Returns a budget that saves at most so many hundredths of a send. */
    static extra_send_budget with_capacity(std::uint64_t hundredths);

    /** Changes how many hundredths of a send may be saved. */
    void set_capacity(std::uint64_t hundredths);
    /** Adds hundredths of a send, up to what may be saved. */
    void add_credit(std::uint64_t hundredths);

    /** Adds the share of first sends that a service allows. */
    void first_sends(std::uint64_t sends, std::uint32_t extra_send_percent);

    /** Takes one extra send from the budget; returns whether it had one. */
    bool take();

    /** Returns the number of extra sends that the budget has at present. */
    std::uint64_t available() const;

private:
    std::uint64_t m_hundredths = 0;
    std::optional<std::uint64_t> m_fixed_most;
};

} // namespace cranberrywood

#endif
