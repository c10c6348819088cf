#ifndef CRANBERRYWOOD_SYSTEMS_RATES_TOKEN_WAITERS_HPP
#define CRANBERRYWOOD_SYSTEMS_RATES_TOKEN_WAITERS_HPP

#include "core/gateway_messages.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace cranberrywood {

/** Requests that wait for a token of their workspace, in order of arrival. */
class token_waiters
{
public:
    /** Adds a request; returns false when too many wait already. */
    bool add(workspace_id workspace, const caller_asked& asked, time_point now);

    /** Takes the request that has waited longest. */
    std::optional<caller_asked> take(workspace_id workspace);
    /** Puts a request back in front that found no token. */
    void put_back(workspace_id workspace, const caller_asked& asked,
                  time_point since);
    /** Takes out the requests that have waited for too long. */
    std::vector<caller_asked> take_expired(time_point now);
    /** Takes out the request of a caller that left. */
    void remove(caller_token token);

    /** Returns the workspaces whose requests wait. */
    std::vector<workspace_id> workspaces() const;
    std::uint32_t count(workspace_id workspace) const;
    /** Returns since when the first request of a workspace waits. */
    time_point since(workspace_id workspace) const;
    bool empty() const
    {
        return m_lines.empty();
    }

private:
    struct waiter
    {
        caller_asked asked;
        time_point since;
    };

    std::map<workspace_id, std::deque<waiter>> m_lines;
};

} // namespace cranberrywood

#endif
