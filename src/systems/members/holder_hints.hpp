#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_HOLDER_HINTS_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_HOLDER_HINTS_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <unordered_map>
#include <vector>

namespace cranberrywood {

/**
 * Holders of role groups as reported by other VMs. A hint is unverified and
 * expires; a hint that proves wrong causes a query to a witness.
 */
class holder_hints
{
public:
    /** Records a reported holder. */
    void record(role_group_id group, vm_id holder, time_point until);

    /** Removes a hint that proved wrong and marks the group for a query. */
    void invalidate(role_group_id group);

    /** Marks a group for a query. */
    void mark_for_query(role_group_id group);

    /** Returns the latest reported holder; unset when none or expired. */
    vm_id find(role_group_id group, time_point now) const;

    /** Takes the groups to query, each at most once per interval. */
    std::vector<role_group_id> take_due_queries(time_point now,
                                                duration interval);

private:
    struct hint
    {
        vm_id holder;
        time_point until;
    };

    std::unordered_map<role_group_id, hint> m_hints;
    std::vector<role_group_id> m_to_query;
    std::unordered_map<role_group_id, time_point> m_queried_at;
};

} // namespace cranberrywood

#endif
