#include "systems/queries/extra_send_budget.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

constexpr std::uint64_t one_send = 100;

// Credit from periods of low load must not become a burst at overload: the
// capacity is a few sends, or the share of this many queries with as many
// shards as the last one.
constexpr std::uint64_t min_capacity = 20 * one_send;
constexpr std::uint64_t capacity_in_queries = 4;

} // namespace

double hedge_quantile_for(std::uint32_t extra_send_percent)
{
    constexpr double percent_for_all_hedged = 150.0;
    return 1.0 - std::min(100U, extra_send_percent) / percent_for_all_hedged;
}

extra_send_budget extra_send_budget::with_capacity(std::uint64_t hundredths)
{
    extra_send_budget budget;
    budget.set_capacity(hundredths);
    return budget;
}

// A capacity below one send would never allow an extra send.
void extra_send_budget::set_capacity(std::uint64_t hundredths)
{
    m_fixed_capacity = std::max(hundredths, one_send);
    m_hundredths = std::min(m_hundredths, *m_fixed_capacity);
}

void extra_send_budget::rescale(std::uint32_t previous, std::uint32_t now)
{
    m_hundredths = m_hundredths * previous / std::max(1U, now);
}

void extra_send_budget::add_credit(std::uint64_t hundredths)
{
    m_hundredths += hundredths;
    if (m_fixed_capacity) {
        m_hundredths = std::min(m_hundredths, *m_fixed_capacity);
    }
}

void extra_send_budget::first_sends(std::uint64_t sends,
                                    std::uint32_t extra_send_percent)
{
    const std::uint64_t share = sends * extra_send_percent;
    const std::uint64_t capacity = m_fixed_capacity.value_or(
        std::max(min_capacity, capacity_in_queries * share));
    m_hundredths = std::min(m_hundredths + share, capacity);
}

bool extra_send_budget::take()
{
    if (m_hundredths < one_send) {
        return false;
    }
    m_hundredths -= one_send;
    return true;
}

std::uint64_t extra_send_budget::available() const
{
    return m_hundredths / one_send;
}

} // namespace cranberrywood
