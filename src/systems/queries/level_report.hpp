#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_LEVEL_REPORT_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_LEVEL_REPORT_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <vector>

namespace cranberrywood {

/** Outcomes of requests within a period, counted against the service level. */
struct level_counts
{
    std::uint64_t requests = 0;
    /** Answered in full or in part, but after the latency target. */
    std::uint64_t late = 0;
    /** Answered with incomplete coverage that no rule accounts for. */
    std::uint64_t short_of_whole = 0;
    /** Refused or failed for a reason other than the workspace rate limit. */
    std::uint64_t refused = 0;
    /** Refused by the workspace rate limit. */
    std::uint64_t over_rate = 0;

    level_counts& operator+=(const level_counts& other);
};

/**
 * Counts of one workspace and service for each window of an error-budget burn
 * report.
 */
struct level_report
{
    workspace_id workspace;
    service_id service;
    struct window
    {
        duration length{0};
        level_counts counts;
    };
    std::vector<window> windows;
};

} // namespace cranberrywood

#endif
