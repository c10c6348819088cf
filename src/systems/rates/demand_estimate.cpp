#include "systems/rates/demand_estimate.hpp"

namespace cranberrywood {

namespace {

constexpr duration step = std::chrono::milliseconds(200);
/** Steps after which nothing of a count is left. */
constexpr int forgotten_after = 50;
constexpr std::uint64_t scale = 1000;
/** Steps whose arrivals the discounted sum stands for, at a steady rate. */
constexpr std::uint64_t steps_in_sum = 4;

} // namespace

void demand_estimate::add(std::uint64_t count, time_point now)
{
    age(now);
    m_sum += count * scale;
}

std::uint64_t demand_estimate::expected_within(duration d, time_point now)
{
    age(now);
    const std::uint64_t per_step = m_sum / steps_in_sum;
    const auto tenths = static_cast<std::uint64_t>(10 * d / step);
    return per_step * tenths / 10 / scale;
}

void demand_estimate::age(time_point now)
{
    if (now - m_aged_at > forgotten_after * step) {
        m_sum = 0;
        m_aged_at = now;
        return;
    }
    while (now - m_aged_at >= step) {
        m_sum -= m_sum / steps_in_sum;
        m_aged_at += step;
    }
}

} // namespace cranberrywood
