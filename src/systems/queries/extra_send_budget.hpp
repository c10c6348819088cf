#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_EXTRA_SEND_BUDGET_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_EXTRA_SEND_BUDGET_HPP

#include <cstdint>
#include <optional>

namespace cranberrywood {

/**
 * Returns the latency quantile after which sub-requests are hedged, so that
 * hedges use half of the extra sends that a service allows. The other half is
 * reserved for retries and for periods with more stragglers.
 */
double hedge_quantile_for(std::uint32_t extra_send_percent);

/**
 * Token bucket that limits hedges and retries together to a share of first
 * sends. Every entry VM enforces its own budget, which bounds the extra load of
 * the fleet by the same share.
 */
class extra_send_budget
{
public:
    extra_send_budget() = default;
    /**
     * Returns an empty budget with a fixed capacity in hundredths of a send.
     */
    static extra_send_budget with_capacity(std::uint64_t hundredths);

    /** Sets a fixed capacity in hundredths of a send; at least one send. */
    void set_capacity(std::uint64_t hundredths);
    /** Multiplies the credit by previous / now. */
    void rescale(std::uint32_t previous, std::uint32_t now);
    /** Adds hundredths of a send, up to the capacity. */
    void add_credit(std::uint64_t hundredths);

    /** Adds the allowed share of a number of first sends. */
    void first_sends(std::uint64_t sends, std::uint32_t extra_send_percent);

    /** Spends one extra send; returns false when the budget has none. */
    bool take();

    /** Returns the number of extra sends available. */
    std::uint64_t available() const;

private:
    std::uint64_t m_hundredths = 0;
    std::optional<std::uint64_t> m_fixed_capacity;
};

} // namespace cranberrywood

#endif
