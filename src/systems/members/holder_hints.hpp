#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_HOLDER_HINTS_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_HOLDER_HINTS_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <unordered_map>
#include <vector>

namespace cranberrywood {

/**
 * Holders of role groups as others named them. A hint is a guess that ages;
 * one that proved wrong leads to a question to a witness.
 */
class holder_hints
{
public:
    /** Notes a holder that was named. */
    void learn(role_group_id group, vm_id holder, time_point until);

    /** Forgets a hint that proved wrong, and marks the group for a query. */
    void forget(role_group_id group);

    /** Marks a group for a query. */
    void want(role_group_id group);

    /** Returns the holder that was named last; unset when none or old. */
    vm_id find(role_group_id group, time_point now) const;

    /** Takes the groups to query, each at most once per pause. */
    std::vector<role_group_id> take_due_queries(time_point now, duration pause);

private:
    struct hint
    {
        vm_id holder;
        time_point until;
    };

    std::unordered_map<role_group_id, hint> m_hints;
    std::vector<role_group_id> m_wanted;
    std::unordered_map<role_group_id, time_point> m_asked;
};

} // namespace cranberrywood

#endif
