#include "systems/members/lease_witness.hpp"

#include <algorithm>

namespace cranberrywood {

lease_witness::lease_witness(const node_identity& self,
                             const lease_policy& policy)
    : m_self(self), m_policy(policy)
{
}

lease_grant lease_witness::ask(vm_id from, const lease_ask& message,
                               const memberships& members, time_point now)
{
    const role_layout& layout = members.current();
    lease_grant answer;
    answer.round = message.round;
    const revision_number asked = message.membership;
    const bool knows_change = asked.is_set() && asked == members.change();
    const bool comparable =
        knows_change || m_policy.same_membership(layout.membership(), asked);
    const bool granting = comparable && !is_recovering(layout, now);
    for (const role_group_id group : message.groups) {
        if (!layout.has(group)) {
            continue;
        }
        if (!granting || !may_grant(from, group, knows_change, now)) {
            answer.refused.push_back({group, holder(group, now)});
            continue;
        }
        entry& lease = m_entries[group];
        const bool renewed = lease.holder == from && !lease.held_by_former;
        const time_point until = now + layout.fleet().lease;
        lease.round =
            renewed ? std::max(lease.round, message.round) : message.round;
        lease.until = renewed ? std::max(lease.until, until) : until;
        lease.holder = from;
        lease.held_by_former = false;
        answer.granted.push_back(group);
    }
    return answer;
}

void lease_witness::release(vm_id from, const lease_release& message)
{
    for (const role_group_id group : message.groups) {
        const auto found = m_entries.find(group);
        if (found == m_entries.end() || found->second.held_by_former ||
            found->second.holder != from ||
            !m_policy.release_covers(message.round, found->second.round)) {
            continue;
        }
        m_entries.erase(found);
    }
}

// The former process may still run, paused or partitioned, and act on its
// lease.
void lease_witness::peer_restarted(vm_id vm)
{
    if (!m_policy.former_lease_blocks_renewal()) {
        return;
    }
    for (auto& [group, lease] : m_entries) {
        lease.held_by_former = lease.held_by_former || lease.holder == vm;
    }
}

void lease_witness::membership_changed(const memberships& members)
{
    const role_layout& before = *members.previous();
    const role_layout& after = members.current();
    m_changed_groups.clear();
    for (const role_group_id group : after.map().groups()) {
        if (before.witnesses(group) != after.witnesses(group)) {
            m_changed_groups.insert(group);
        }
    }
    m_unrestricted_from = members.unrestricted_from();
}

vm_id lease_witness::holder(role_group_id group, time_point now) const
{
    const auto found = m_entries.find(group);
    if (found == m_entries.end() || now >= found->second.until) {
        return {};
    }
    return found->second.holder;
}

bool lease_witness::is_recovering(const role_layout& layout,
                                  time_point now) const
{
    return now < m_policy.first_grant_time(m_self.started, layout.fleet());
}

std::vector<group_holder> lease_witness::remove_expired(time_point now)
{
    std::vector<group_holder> expired;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (now < it->second.until) {
            ++it;
            continue;
        }
        expired.push_back({it->first, it->second.holder});
        it = m_entries.erase(it);
    }
    return expired;
}

std::size_t lease_witness::size() const
{
    return m_entries.size();
}

// A VM that knows both witness sets asks both, so it cannot bypass a holder
// whose lease relies on the old set. A VM started after the change knows only
// the new set and must wait until no lease relies on the old set alone.
bool lease_witness::may_grant(vm_id from, role_group_id group,
                              bool knows_change, time_point now) const
{
    const auto found = m_entries.find(group);
    const bool free = found == m_entries.end() || now >= found->second.until;
    if (free) {
        return knows_change || now >= m_unrestricted_from ||
               m_changed_groups.count(group) == 0;
    }
    return !found->second.held_by_former &&
           !m_policy.excludes(found->second.holder, from);
}

} // namespace cranberrywood
