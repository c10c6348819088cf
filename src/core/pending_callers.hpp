#ifndef CRANBERRYWOOD_CORE_PENDING_CALLERS_HPP
#define CRANBERRYWOOD_CORE_PENDING_CALLERS_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <optional>
#include <unordered_map>

namespace cranberrywood {

/** A caller that waits for its answer. */
struct waiting_caller
{
    workspace_id workspace;
    service_id service;
    time_point arrived;
    /** The request passed all checks, and the workspace is known. */
    bool identified = false;
};

/** The callers that wait, so that each is answered exactly once. */
class pending_callers
{
public:
    /** Adds a caller. */
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

    /** Removes a caller; none when it does not wait any more. */
    std::optional<waiting_caller> remove(caller_token token)
    {
        const auto found = m_waiting.extract(token);
        if (found.empty()) {
            return std::nullopt;
        }
        return found.mapped();
    }

    /** Returns the number of callers that wait. */
    std::size_t size() const
    {
        return m_waiting.size();
    }

private:
    std::unordered_map<caller_token, waiting_caller> m_waiting;
};

} // namespace cranberrywood

#endif
