#ifndef CRANBERRYWOOD_CORE_PENDING_CALLERS_HPP
#define CRANBERRYWOOD_CORE_PENDING_CALLERS_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <optional>
#include <unordered_map>

namespace cranberrywood {

/** A caller that is waiting for its answer. */
struct waiting_caller
{
    workspace_id workspace;
    service_id service;
    time_point arrived;
    /** The request passed all checks and its workspace is known. */
    bool identified = false;
};

/** Tracks waiting callers, so that each is answered exactly once. */
class pending_callers
{
public:
    void add(caller_token token, const waiting_caller& caller)
    {
        m_waiting.emplace(token, caller);
    }

    /** Sets the workspace of a caller whose request passed the checks. */
    void identify(caller_token token, workspace_id workspace)
    {
        waiting_caller& caller = m_waiting.at(token);
        caller.workspace = workspace;
        caller.identified = true;
    }

    /** Removes and returns a caller; none if it is not waiting. */
    std::optional<waiting_caller> remove(caller_token token)
    {
        const auto found = m_waiting.extract(token);
        if (found.empty()) {
            return std::nullopt;
        }
        return found.mapped();
    }

    /** Returns the number of waiting callers. */
    std::size_t size() const
    {
        return m_waiting.size();
    }

private:
    std::unordered_map<caller_token, waiting_caller> m_waiting;
};

} // namespace cranberrywood

#endif
