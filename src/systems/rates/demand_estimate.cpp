#include "systems/rates/demand_estimate.hpp"

namespace cranberrywood {

namespace {

constexpr duration step = std::chrono::milliseconds(200);
/** Number of steps without a call after which the sum is set to zero. */
constexpr int steps_to_zero = 50;
constexpr std::uint64_t scale = 1000;
/**
 * Number of steps whose arrivals the sum equals at a steady rate; also the
 * divisor of the decay.
 */
constexpr std::uint64_t steps_in_sum = 4;

} // namespace

void demand_estimate::add(std::uint64_t count, time_point now)
{
    decay(now);
    m_sum += count * scale;
}

std::uint64_t demand_estimate::expected_within(duration d, time_point now)
{
    decay(now);
    const std::uint64_t per_step = m_sum / steps_in_sum;
    const auto tenths = static_cast<std::uint64_t>(10 * d / step);
    return per_step * tenths / 10 / scale;
}

void demand_estimate::decay(time_point now)
{
    if (now - m_decayed_at > steps_to_zero * step) {
        m_sum = 0;
        m_decayed_at = now;
        return;
    }
    while (now - m_decayed_at >= step) {
        m_sum -= m_sum / steps_in_sum;
        m_decayed_at += step;
    }
}

} // namespace cranberrywood
