#include "systems/store/startup_progress.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Time from the start in which both areas are usually listed. */
constexpr duration listing_time = 300ms;
/** Time from the start in which a reader usually confirms the state. */
constexpr duration confirming_time = 1s;
/** Bounds of the estimate. */
constexpr duration min_time_left = 50ms;
constexpr duration max_time_left = 1500ms;
/** Longest retry delay, jitter included. */
constexpr duration max_retry_after = 2s;
/** Priorities from this one on have the same jitter. */
constexpr std::uint32_t lowest_priority = 2;
/** Shortest time over which the retries of a priority are spread. */
constexpr duration min_spread = 25ms;

} // namespace

const char* name_of(startup_step step)
{
    switch (step) {
    case startup_step::configuration:
        return "configuration";
    case startup_step::servers:
        return "servers";
    case startup_step::confirmed:
        return "confirmed";
    case startup_step::ready:
        return "ready";
    }
    return "unknown";
}

startup_progress::startup_progress(random_source& random, time_point started)
    : m_random(random), m_started(started)
{
}

bool startup_progress::record(startup_step step, time_point now)
{
    std::optional<time_point>& reached = m_reached[index(step)];
    if (reached) {
        return false;
    }
    reached = now;
    return true;
}

std::optional<duration> startup_progress::time_to(startup_step step) const
{
    const auto& reached = m_reached[index(step)];
    return reached ? std::optional(*reached - m_started) : std::nullopt;
}

// A step that is overdue depends on a store or a reader that is down. How long
// that lasts is unknown; an estimate in proportion to the time waited keeps the
// number of retries small without waiting much longer than necessary.
duration startup_progress::time_left(time_point now) const
{
    const bool listed =
        has(startup_step::configuration) && has(startup_step::servers);
    const duration expected = listed ? confirming_time : listing_time;
    const duration elapsed = age(now);
    const duration left = elapsed < expected ? expected - elapsed : elapsed / 2;
    return std::clamp(left, min_time_left, max_time_left);
}

duration startup_progress::retry_after(std::optional<std::uint32_t> priority,
                                       time_point now)
{
    const duration left = time_left(now);
    const std::uint32_t rank =
        std::min(priority.value_or(lowest_priority), lowest_priority) + 1;
    const duration spread = std::max(min_spread, left / 4) * rank;
    const duration jitter(static_cast<duration::rep>(
        m_random.below(static_cast<std::uint64_t>(spread.count()))));
    return std::min(left + jitter, max_retry_after);
}

} // namespace cranberrywood
