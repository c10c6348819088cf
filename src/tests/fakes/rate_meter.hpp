#ifndef CRANBERRYWOOD_TESTS_FAKES_RATE_METER_HPP
#define CRANBERRYWOOD_TESTS_FAKES_RATE_METER_HPP

#include "units/time.hpp"

#include <algorithm>

namespace cranberrywood::fakes {

/** Finds the window in which admitted requests exceed their rate the most. */
class rate_meter
{
public:
    rate_meter(double rate, double burst) : m_rate(rate), m_burst(burst) {}

    /** Notes that a request was admitted; times must not go back. */
    void admitted(time_point now)
    {
        const std::chrono::duration<double> passed = now - m_last;
        m_level = std::max(0.0, m_level - m_rate * passed.count()) + 1.0;
        m_last = now;
        m_worst = std::max(m_worst, m_level);
    }

    /** Returns requests above burst + rate x window, in the worst window. */
    double worst_excess() const
    {
        return m_worst - m_burst;
    }

private:
    double m_rate;
    double m_burst;
    double m_level = 0.0;
    double m_worst = 0.0;
    time_point m_last;
};

} // namespace cranberrywood::fakes

#endif
