#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_WAITING_CALLS_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_WAITING_CALLS_HPP

#include "systems/queries/fair_queue.hpp"
#include "systems/rates/demand_estimate.hpp"
#include "tables/open_request.hpp"

#include <map>
#include <optional>

namespace cranberrywood {

/**
 * Calls that wait for room at the backend servers of one service each: the
 * more important first, then fair between workspaces.
 */
class waiting_calls
{
public:
    /** Puts a call in; returns one that has to go when there is no room. */
    std::optional<call_ref>
    push(service_id service, const open_request& request, std::uint32_t call);

    /** Returns the next call that can still be answered in time. */
    std::optional<call_ref> pop(service_id service, time_point now);

    /** Takes note that a backend server of the service finished a request. */
    void record_completion(service_id service, time_point now);

    /**
     * Returns how long a call of a rank is expected to wait, from the calls
     * ahead of it and the rate at which the service finishes them.
     */
    duration expected_wait(service_id service, std::uint32_t priority,
                           time_point now);

    /** Returns the services for which calls wait. */
    std::vector<service_id> services() const;
    bool empty() const;

private:
    struct line
    {
        std::map<std::uint32_t, fair_queue<call_ref>> by_priority;
        demand_estimate completions;
    };

    std::map<service_id, line> m_lines;
};

} // namespace cranberrywood

#endif
