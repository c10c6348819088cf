#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_WAITING_CALLS_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_WAITING_CALLS_HPP

#include "systems/queries/fair_queue.hpp"
#include "systems/rates/demand_estimate.hpp"
#include "tables/open_request.hpp"

#include <map>
#include <optional>

namespace cranberrywood {

/**
 * Queues of calls that wait for capacity at the backend servers, one per
 * service. Calls are served by priority, and fairly between workspaces within a
 * priority.
 */
class waiting_calls
{
public:
    /** Adds a call; returns the evicted call when the queue is full. */
    std::optional<call_ref>
    push(service_id service, const open_request& request, std::uint32_t call);

    /** Returns the next call that can still meet its deadline. */
    std::optional<call_ref> pop(service_id service, time_point now);

    /** Records that a backend server of the service completed a request. */
    void record_completion(service_id service, time_point now);

    /**
     * Returns the expected wait of a call of a priority, from the calls ahead
     * of it and the completion rate of the service.
     */
    duration expected_wait(service_id service, std::uint32_t priority,
                           time_point now);

    /** Returns the services with waiting calls. */
    std::vector<service_id> services() const;
    bool has_waiting(service_id service) const;
    bool empty() const;

private:
    struct service_queue
    {
        std::map<std::uint32_t, fair_queue<call_ref>> by_priority;
        demand_estimate completions;
    };

    std::map<service_id, service_queue> m_queues;
};

} // namespace cranberrywood

#endif
