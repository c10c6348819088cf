#include "loop/descriptor_budget.hpp"

namespace cranberrywood {

namespace {

/** Kept for log, settings, libraries and listeners. */
constexpr std::size_t reserved_for_files = 200;
/** Parts of the rest, in sixteenths; together all of them. */
constexpr std::size_t sixteenths = 16;
constexpr std::size_t caller_sixteenths = 8;
constexpr std::size_t server_sixteenths = 6;
constexpr std::size_t peer_sixteenths = 1;

} // namespace

descriptor_budget budget_of_descriptors(std::size_t open_files)
{
    const std::size_t rest =
        open_files > reserved_for_files ? open_files - reserved_for_files : 0;
    return {rest * caller_sixteenths / sixteenths,
            rest * server_sixteenths / sixteenths,
            rest * peer_sixteenths / sixteenths,
            rest * peer_sixteenths / sixteenths};
}

} // namespace cranberrywood
