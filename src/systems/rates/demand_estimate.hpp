#ifndef CRANBERRYWOOD_SYSTEMS_RATES_DEMAND_ESTIMATE_HPP
#define CRANBERRYWOOD_SYSTEMS_RATES_DEMAND_ESTIMATE_HPP

#include "units/time.hpp"

#include <cstdint>

namespace cranberrywood {

/**
 * Estimates the arrival rate over about the last second: a sum of arrivals
 * that decays by a quarter every step, in integer arithmetic.
 */
class demand_estimate
{
public:
    /** Records arrivals. */
    void add(std::uint64_t count, time_point now);

    /** Returns the number of arrivals expected within a duration. */
    std::uint64_t expected_within(duration d, time_point now);

private:
    void decay(time_point now);

    /** Decayed sum of arrivals, in thousandths. */
    std::uint64_t m_sum = 0;
    time_point m_decayed_at;
};

} // namespace cranberrywood

#endif
