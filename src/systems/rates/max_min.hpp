#ifndef CRANBERRYWOOD_SYSTEMS_RATES_MAX_MIN_HPP
#define CRANBERRYWOOD_SYSTEMS_RATES_MAX_MIN_HPP

#include <cstdint>
#include <vector>

namespace cranberrywood {

/** One claim on a divisible quantity. */
struct max_min_claim
{
    /** What the claimant wants now. */
    std::uint64_t wanted = 0;
    /** What it got lately; who got less is served first. */
    std::uint64_t had = 0;
    /** What it gets; allocate_max_min sets it. */
    std::uint64_t share = 0;
};

/**
 * Divides available units among the claims so that the smallest sum of what
 * a claimant had and gets is as large as can be. Shares are multiples of
 * unit; claims in front go first when less than a unit each is left.
 */
void allocate_max_min(std::vector<max_min_claim>& claims,
                      std::uint64_t available, std::uint64_t unit);

} // namespace cranberrywood

#endif
