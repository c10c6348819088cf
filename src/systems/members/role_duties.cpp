#include "systems/members/role_duties.hpp"

#include <algorithm>

namespace cranberrywood {

role_duties::role_duties(role_leases& leases, owner_dispatch& dispatch,
                         rate_home& homes, id_records& records)
    : m_leases(leases), m_dispatch(dispatch), m_homes(homes), m_records(records)
{
}

void role_duties::settings_changed(time_point now, outbox& out)
{
    for (const role_group_id group : m_held) {
        start(group, now, out);
    }
}

void role_duties::run(time_point now, outbox& out)
{
    for (const role_change& change : m_leases.take_changes()) {
        switch (change.what) {
        case role_change::kind::acquired:
            m_held.insert(change.group);
            if (m_leases.map().is_shared(change.group)) {
                m_records.start(change.group, now);
            }
            start(change.group, now, out);
            break;
        case role_change::kind::lost:
            stop(change.group, now, out);
            break;
        case role_change::kind::release_wanted:
            drain(change.group);
            break;
        }
    }
    const std::set<role_group_id> draining = m_draining;
    for (const role_group_id group : draining) {
        if (is_drained(group, now)) {
            hand_over(group, now, out);
            stop(group, now, out);
            m_leases.release(group, now, out);
        }
    }
}

// Entities already started are skipped.
void role_duties::start(role_group_id group, time_point now, outbox& out)
{
    for (const auto server : m_leases.map().servers_of(group)) {
        if (m_owned.insert(server).second) {
            m_dispatch.start_owning(server, now, out);
        }
    }
    for (const auto workspace : m_leases.map().workspaces_of(group)) {
        if (m_home_of.insert(workspace).second) {
            m_homes.start(workspace, now);
        }
    }
}

void role_duties::stop(role_group_id group, time_point now, outbox& out)
{
    m_held.erase(group);
    m_draining.erase(group);
    for (const auto server : m_leases.map().servers_of(group)) {
        if (m_owned.erase(server) != 0) {
            m_dispatch.stop_owning(server, now, out);
        }
    }
    for (const auto workspace : m_leases.map().workspaces_of(group)) {
        if (m_home_of.erase(workspace) != 0) {
            m_homes.stop(workspace);
        }
    }
    if (m_leases.map().is_shared(group)) {
        m_records.stop(group);
    }
}

void role_duties::drain(role_group_id group)
{
    if (m_held.erase(group) == 0) {
        return;
    }
    m_draining.insert(group);
    for (const auto server : m_leases.map().servers_of(group)) {
        m_dispatch.drain(server);
    }
    for (const auto workspace : m_leases.map().workspaces_of(group)) {
        m_homes.drain(workspace);
    }
    if (m_leases.map().is_shared(group)) {
        m_records.drain(group);
    }
}

bool role_duties::is_drained(role_group_id group, time_point now) const
{
    const auto& servers = m_leases.map().servers_of(group);
    const auto& workspaces = m_leases.map().workspaces_of(group);
    return std::all_of(servers.begin(), servers.end(),
                       [this](auto id) { return m_dispatch.idle(id); }) &&
           std::all_of(workspaces.begin(), workspaces.end(),
                       [&](auto id) { return m_homes.drained(id, now); }) &&
           m_records.drained(group);
}

void role_duties::hand_over(role_group_id group, time_point now, outbox& out)
{
    const vm_id next = m_leases.successor(group, now);
    if (!m_leases.map().is_shared(group) || !next.is_set()) {
        return;
    }
    for (record_handover& part : m_records.hand_over(group, now)) {
        out.to_peer(next, std::move(part));
    }
}

} // namespace cranberrywood
