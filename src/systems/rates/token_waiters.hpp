#ifndef CRANBERRYWOOD_SYSTEMS_RATES_TOKEN_WAITERS_HPP
#define CRANBERRYWOOD_SYSTEMS_RATES_TOKEN_WAITERS_HPP

#include "core/gateway_messages.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace cranberrywood {

/** Requests that wait for a token of their workspace, a FIFO queue for each. */
class token_waiters
{
public:
    /** Adds a request; returns false if the workspace's queue is full. */
    bool add(workspace_id workspace, const request_received& asked,
             time_point now);

    /** Removes and returns the request that has waited longest. */
    std::optional<request_received> take(workspace_id workspace);
    /** Puts a request that got no token back at the front of its queue. */
    void put_back(workspace_id workspace, const request_received& asked,
                  time_point since);
    /** Removes and returns the requests whose wait has timed out. */
    std::vector<request_received> take_expired(time_point now);
    /** Removes the request of a caller that has disconnected. */
    void remove(caller_token token);

    /** Returns the workspaces that have waiting requests. */
    std::vector<workspace_id> workspaces() const;
    std::uint32_t count(workspace_id workspace) const;
    /** Returns the time at which a workspace's first request began to wait. */
    time_point since(workspace_id workspace) const;
    bool empty() const
    {
        return m_queues.empty();
    }

private:
    struct waiter
    {
        request_received asked;
        time_point since;
    };

    std::map<workspace_id, std::deque<waiter>> m_queues;
};

} // namespace cranberrywood

#endif
