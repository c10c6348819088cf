#include "systems/queries/extra_send_budget.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

constexpr std::uint64_t one_send = 100;

// Savings from quiet times must not turn into a burst at overload: they are
// bounded by a few sends, or by the share of this many queries as wide as
// the last one.
constexpr std::uint64_t min_saved = 20 * one_send;
constexpr std::uint64_t saved_queries = 4;

} // namespace

double hedge_quantile_for(std::uint32_t extra_send_percent)
{
    constexpr double percent_per_hedged_one = 150.0;
    return 1.0 - std::min(100U, extra_send_percent) / percent_per_hedged_one;
}

extra_send_budget extra_send_budget::with_capacity(std::uint64_t hundredths)
{
    extra_send_budget budget;
    budget.set_capacity(hundredths);
    return budget;
}

// At least one send can be saved, or there would never be one.
void extra_send_budget::set_capacity(std::uint64_t hundredths)
{
    m_fixed_most = std::max(hundredths, one_send);
    m_hundredths = std::min(m_hundredths, *m_fixed_most);
}

void extra_send_budget::add_credit(std::uint64_t hundredths)
{
    m_hundredths += hundredths;
    if (m_fixed_most) {
        m_hundredths = std::min(m_hundredths, *m_fixed_most);
    }
}

void extra_send_budget::first_sends(std::uint64_t sends,
                                    std::uint32_t extra_send_percent)
{
    const std::uint64_t share = sends * extra_send_percent;
    const std::uint64_t most =
        m_fixed_most.value_or(std::max(min_saved, saved_queries * share));
    m_hundredths = std::min(m_hundredths + share, most);
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
