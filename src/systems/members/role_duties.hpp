#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_ROLE_DUTIES_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_ROLE_DUTIES_HPP

#include "systems/lookups/id_records.hpp"
#include "systems/members/role_leases.hpp"
#include "systems/rates/rate_home.hpp"
#include "systems/servers/owner_dispatch.hpp"

#include <set>

namespace cranberrywood {

/**
 * Starts and stops the work of the role groups held: owning backend servers,
 * being the home of workspaces, keeping records of request ids. Drains a group
 * and hands it over before its lease is released.
 */
class role_duties
{
public:
    /** The referenced objects must outlive this one. */
    role_duties(role_leases& leases, owner_dispatch& dispatch, rate_home& homes,
                id_records& records);

    /** Starts the work that a settings revision adds to the groups held. */
    void settings_changed(time_point now, outbox& out);

    /** Applies lease changes and releases the groups that are drained. */
    void run(time_point now, outbox& out);

    /** Returns the number of groups held or being drained. */
    std::size_t held() const
    {
        return m_held.size() + m_draining.size();
    }

private:
    void start(role_group_id group, time_point now, outbox& out);
    void stop(role_group_id group, time_point now, outbox& out);
    void drain(role_group_id group);
    bool is_drained(role_group_id group, time_point now) const;
    void hand_over(role_group_id group, time_point now, outbox& out);

    role_leases& m_leases;
    owner_dispatch& m_dispatch;
    rate_home& m_homes;
    id_records& m_records;
    std::set<role_group_id> m_held;
    std::set<role_group_id> m_draining;
    std::set<backend_server_id> m_owned;
    std::set<workspace_id> m_home_of;
};

} // namespace cranberrywood

#endif
