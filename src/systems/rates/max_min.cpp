#include "systems/rates/max_min.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

std::uint64_t share_at(const max_min_claim& claim, std::uint64_t level,
                       std::uint64_t unit)
{
    if (level <= claim.recent) {
        return 0;
    }
    const std::uint64_t share = std::min(claim.wanted, level - claim.recent);
    return share - share % unit;
}

std::uint64_t sum_at(const std::vector<max_min_claim>& claims,
                     std::uint64_t level, std::uint64_t unit)
{
    std::uint64_t sum = 0;
    for (const auto& claim : claims) {
        sum += share_at(claim, level, unit);
    }
    return sum;
}

} // namespace

// Finds by bisection the highest level to which all claims can be filled; the
// sum of the shares is monotonic in the level.
void allocate_max_min(std::vector<max_min_claim>& claims,
                      std::uint64_t available, std::uint64_t unit)
{
    std::uint64_t low = 0;
    std::uint64_t high = 0;
    for (const auto& claim : claims) {
        high = std::max(high, claim.recent + claim.wanted);
    }
    while (low < high) {
        const std::uint64_t middle = low + (high - low + 1) / 2;
        if (sum_at(claims, middle, unit) <= available) {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    std::uint64_t left = available;
    for (auto& claim : claims) {
        claim.share = share_at(claim, low, unit);
        left -= claim.share;
    }
    for (auto& claim : claims) {
        const bool grows = share_at(claim, low + 1, unit) > claim.share;
        if (grows && left >= unit) {
            claim.share += unit;
            left -= unit;
        }
    }
}

} // namespace cranberrywood
