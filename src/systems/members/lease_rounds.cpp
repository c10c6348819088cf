#include "systems/members/lease_rounds.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

void append_unique(std::vector<role_group_id>& groups, role_group_id group)
{
    if (std::find(groups.begin(), groups.end(), group) == groups.end()) {
        groups.push_back(group);
    }
}

} // namespace

lease_rounds::lease_rounds(const memberships& members) : m_members(members) {}

std::uint64_t lease_rounds::last() const
{
    return m_last;
}

const lease_rounds::record* lease_rounds::find(std::uint64_t round) const
{
    const auto found = m_sent.find(round);
    return found == m_sent.end() ? nullptr : &found->second;
}

// During a membership change, asks that name the change go to both witness
// sets. Witnesses that have not applied the change grant under the old
// membership only, and those started since under the new one only.
void lease_rounds::send(const std::vector<role_group_id>& groups,
                        time_point now, outbox& out)
{
    const role_layout& current = m_members.current();
    const batches asks = group_by_witness(groups, current);
    send_round(asks, current, current.membership(), now, out);
    const role_layout* previous = m_members.previous();
    if (previous == nullptr) {
        return;
    }
    const batches old_asks = group_by_witness(groups, *previous);
    send_round(old_asks, *previous, previous->membership(), now, out);
    batches both = asks;
    for (const auto& [witness, asked] : old_asks) {
        for (const role_group_id group : asked) {
            append_unique(both[witness], group);
        }
    }
    send_round(both, current, m_members.change(), now, out);
}

lease_rounds::batches
lease_rounds::group_by_witness(const std::vector<role_group_id>& groups,
                               const role_layout& layout) const
{
    batches asks;
    for (const role_group_id group : groups) {
        for (const vm_id witness : layout.witnesses(group)) {
            asks[witness].push_back(group);
        }
    }
    return asks;
}

void lease_rounds::send_round(const batches& asks, const role_layout& layout,
                              revision_number membership, time_point now,
                              outbox& out)
{
    if (asks.empty()) {
        return;
    }
    while (!m_sent.empty() &&
           now - m_sent.begin()->second.sent > layout.fleet().lease) {
        m_sent.erase(m_sent.begin());
    }
    ++m_last;
    m_sent[m_last] = {now, membership};
    for (const auto& [witness, groups] : asks) {
        out.to_peer(witness, lease_ask{m_last, membership, groups});
    }
}

} // namespace cranberrywood
