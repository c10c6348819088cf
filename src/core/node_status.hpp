#ifndef CRANBERRYWOOD_CORE_NODE_STATUS_HPP
#define CRANBERRYWOOD_CORE_NODE_STATUS_HPP

#include "systems/queries/level_report.hpp"
#include "units/ids.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace cranberrywood {

/** State of a node for operators: health, readiness and counters. */
struct node_status
{
    vm_id vm;
    incarnation process;
    revision_number revision;
    /** Error of the last refused revision; empty when none was refused. */
    std::string refused_revision;
    bool view_confirmed = false;
    /** The load balancer may send requests to this VM. */
    bool ready = false;
    bool leaving = false;
    std::uint32_t groups_held = 0;
    std::uint32_t requests_in_flight = 0;
    /** Counts since the start of the process, by metric name. */
    std::map<std::string, std::uint64_t> counters;
    std::vector<level_report> levels;
};

} // namespace cranberrywood

#endif
