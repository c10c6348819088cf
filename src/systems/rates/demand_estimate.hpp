#ifndef CRANBERRYWOOD_SYSTEMS_RATES_DEMAND_ESTIMATE_HPP
#define CRANBERRYWOOD_SYSTEMS_RATES_DEMAND_ESTIMATE_HPP

#include "units/time.hpp"

#include <cstdint>

namespace cranberrywood {

/**
 * Rate of arrivals over the last second or so: a count that loses a quarter
 * of itself every step, in integers.
 */
class demand_estimate
{
public:
    /** Counts arrivals. */
    void add(std::uint64_t count, time_point now);

    /** Returns how many arrivals are expected within a time. */
    std::uint64_t expected_within(duration d, time_point now);

private:
    void age(time_point now);

    /** Arrivals in thousandths, with those of earlier steps discounted. */
    std::uint64_t m_sum = 0;
    time_point m_aged_at;
};

} // namespace cranberrywood

#endif
