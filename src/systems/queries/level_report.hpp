#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_LEVEL_REPORT_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_LEVEL_REPORT_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <vector>

namespace cranberrywood {

/** How requests ended in some span of time. */
struct level_counts
{
    std::uint64_t requests = 0;
    /** Answered in full or in part, but after the latency target. */
    std::uint64_t late = 0;
    /** Answered with less than full coverage for another cause than a rule. */
    std::uint64_t short_of_whole = 0;
    /** Refused or failed, other than for the workspace's own rate. */
    std::uint64_t refused = 0;
    /** Refused for the workspace's rate. */
    std::uint64_t over_rate = 0;

    level_counts& operator+=(const level_counts& other);
};

/** Counts of one workspace and service over the windows of a burn report. */
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
