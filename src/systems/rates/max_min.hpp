#ifndef CRANBERRYWOOD_SYSTEMS_RATES_MAX_MIN_HPP
#define CRANBERRYWOOD_SYSTEMS_RATES_MAX_MIN_HPP

#include <cstdint>
#include <vector>

namespace cranberrywood {

/** One claimant's part in a max-min fair allocation. */
struct max_min_claim
{
    /** Units that the claimant asks for. */
    std::uint64_t wanted = 0;
    /** Units that it received recently; a lower value has precedence. */
    std::uint64_t recent = 0;
    /** Units allocated to it; set by allocate_max_min. */
    std::uint64_t share = 0;
};

/**
 * Allocates the available units by max-min fairness: the smallest sum of a
 * claimant's recent and allocated units becomes as large as possible. Shares
 * are multiples of unit. Of a rest that is too small for one unit to each
 * claim, the claims at the front of the list get one unit each.
 */
void allocate_max_min(std::vector<max_min_claim>& claims,
                      std::uint64_t available, std::uint64_t unit);

} // namespace cranberrywood

#endif
