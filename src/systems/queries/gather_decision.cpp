#include "systems/queries/gather_decision.hpp"

#include <algorithm>
#include <cmath>

namespace cranberrywood {

std::uint32_t required_shards(std::uint32_t shards, double least_share)
{
    // Absorbs floating-point error: 0.7 of 10 must give 7, not 8.
    constexpr double rounding = 1e-9;
    const double required = std::ceil(least_share * shards - rounding);
    return std::clamp(static_cast<std::uint32_t>(std::max(0.0, required)), 1U,
                      std::max(1U, shards));
}

gather_decision decide_gather(const gather_progress& progress, time_point now)
{
    const std::uint32_t pending =
        progress.shards - progress.answered - progress.failed;
    if (progress.answered + pending < progress.required) {
        return gather_decision::fail;
    }
    const bool enough = progress.answered >= progress.required;
    if (enough && (pending == 0 || now >= progress.answer_at)) {
        return gather_decision::answer;
    }
    return now >= progress.deadline ? gather_decision::fail
                                    : gather_decision::wait;
}

} // namespace cranberrywood
