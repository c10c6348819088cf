#include "systems/members/lease_candidate.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using kind = role_change::kind;

// Passes over the groups in one renewal interval.
constexpr int passes_per_renewal = 4;

bool contains(const std::vector<vm_id>& vms, vm_id vm)
{
    return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

void append(std::vector<role_group_id>& groups, role_group_id group)
{
    if (std::find(groups.begin(), groups.end(), group) == groups.end()) {
        groups.push_back(group);
    }
}

} // namespace

lease_candidate::lease_candidate(const node_identity& self,
                                 random_source& random,
                                 role_preference& preference,
                                 const memberships& members,
                                 const lease_policy& policy)
    : m_self(self), m_random(random), m_preference(preference),
      m_members(members), m_policy(policy), m_rounds(members)
{
}

void lease_candidate::membership_changed(time_point now, outbox& out)
{
    m_proven.clear();
    const role_layout* before = m_members.previous();
    const role_layout& after = m_members.current();
    for (auto it = m_candidacies.begin(); it != m_candidacies.end();) {
        const role_group_id group = it->first;
        candidacy& c = (it++)->second;
        if (!after.has(group)) {
            drop(group, out);
            continue;
        }
        c.grants.age();
        if (c.at == phase::asking) {
            give_up(group, c, now);
        }
        const bool moved = before == nullptr ||
                           before->witnesses(group) != after.witnesses(group);
        c.joined = c.joined && !moved;
        if (c.at == phase::held) {
            update(group, c, now, out);
        }
    }
    m_due = now;
    flush(out);
}

void lease_candidate::membership_settled(time_point now, outbox& out)
{
    m_proven.clear();
    for (auto it = m_candidacies.begin(); it != m_candidacies.end();) {
        const role_group_id group = it->first;
        candidacy& c = (it++)->second;
        if (c.at == phase::held) {
            update(group, c, now, out);
        }
    }
    flush(out);
}

void lease_candidate::receive(vm_id from, const lease_grant& message,
                              time_point now, outbox& out)
{
    drop_lapsed(now, out);
    const lease_rounds::record* round = m_rounds.find(message.round);
    for (const role_group_id group : message.granted) {
        take_grant(from, group, round, message.round, now, out);
    }
    if (round != nullptr) {
        for (const group_holder& refusal : message.refused) {
            take_refusal(from, refusal, message.round, now);
        }
    }
    flush(out);
    m_due = now;
}

void lease_candidate::handle_wish(vm_id from, role_group_id group,
                                  time_point now)
{
    const auto found = m_candidacies.find(group);
    if (found == m_candidacies.end() ||
        !(m_leaving || m_members.current().outranks(group, from, m_self.vm))) {
        return;
    }
    candidacy& c = found->second;
    if (c.at == phase::held && !c.release_wanted) {
        c.release_wanted = true;
        m_changes.push_back({group, kind::release_wanted});
    }
    if (c.at == phase::asking) {
        give_up(group, c, now);
    }
}

void lease_candidate::note_vacant(role_group_id group, time_point now)
{
    const auto found = m_candidacies.find(group);
    if (found == m_candidacies.end()) {
        m_next_consider = now;
    } else if (found->second.at == phase::waiting) {
        candidacy& c = found->second;
        const duration pause = jittered(shortest_pause());
        c.wish_to = vm_id();
        c.next = std::max(now, c.asked + pause);
    }
    m_due = now;
}

void lease_candidate::note_held(role_group_id group, vm_id holder)
{
    const auto found = m_candidacies.find(group);
    if (found != m_candidacies.end() && found->second.wish_to.is_set()) {
        found->second.wish_to = holder;
    }
}

void lease_candidate::release(role_group_id group, outbox& out)
{
    const auto found = m_candidacies.find(group);
    if (found == m_candidacies.end()) {
        return;
    }
    return_grants(group, found->second);
    m_candidacies.erase(found);
    flush(out);
}

void lease_candidate::leave(time_point now, outbox& out)
{
    m_leaving = true;
    for (auto it = m_candidacies.begin(); it != m_candidacies.end();) {
        candidacy& c = it->second;
        if (c.at != phase::held) {
            give_up(it->first, c, now);
            it = m_candidacies.erase(it);
            continue;
        }
        if (!c.release_wanted) {
            c.release_wanted = true;
            m_changes.push_back({it->first, kind::release_wanted});
        }
        ++it;
    }
    flush(out);
}

void lease_candidate::tick(time_point now, outbox& out)
{
    if (!m_members.known() || now < m_due) {
        return;
    }
    drop_lapsed(now, out);
    if (now >= m_next_consider) {
        choose_groups(now);
    }
    std::vector<role_group_id> to_ask;
    run_due(now, to_ask);
    flush(out);
    m_rounds.send(to_ask, now, out);
    schedule(now);
}

std::vector<role_change> lease_candidate::take_changes()
{
    return std::exchange(m_changes, {});
}

bool lease_candidate::holds(role_group_id group, time_point now) const
{
    const auto found = m_candidacies.find(group);
    return found != m_candidacies.end() && found->second.at == phase::held &&
           now < found->second.end;
}

time_point lease_candidate::held_until(role_group_id group) const
{
    const auto found = m_candidacies.find(group);
    const bool held =
        found != m_candidacies.end() && found->second.at == phase::held;
    return held ? found->second.end : time_point::min();
}

std::size_t lease_candidate::size() const
{
    return m_candidacies.size();
}

void lease_candidate::choose_groups(time_point now)
{
    const role_layout& layout = m_members.current();
    m_next_consider = now + layout.fleet().renew_every / passes_per_renewal;
    if (m_leaving) {
        return;
    }
    m_preference.start_pass(now);
    for (const role_group_id group : layout.map().groups()) {
        const bool wanted = m_preference.wants(group, now);
        const auto found = m_candidacies.find(group);
        if (wanted && found == m_candidacies.end()) {
            m_candidacies[group].next = now;
        }
        if (!wanted && found != m_candidacies.end() &&
            found->second.at != phase::held) {
            give_up(group, found->second, now);
            m_candidacies.erase(found);
        }
    }
}

void lease_candidate::run_due(time_point now,
                              std::vector<role_group_id>& to_ask)
{
    const duration renewal = m_members.current().fleet().renew_every;
    const bool renew = now >= m_next_renew;
    if (renew) {
        m_next_renew = now + renewal;
    }
    for (auto& [group, c] : m_candidacies) {
        if (c.at == phase::held) {
            if (renew) {
                to_ask.push_back(group);
            }
        } else if (now >= c.next && c.at == phase::asking) {
            give_up(group, c, now);
        } else if (now >= c.next) {
            start_attempt(group, c, now, to_ask);
        }
    }
}

// While a holder that lives is asked to hand over, asking its witnesses would
// take those that it happens to lack; after a lease without an answer the
// group is sought again.
void lease_candidate::start_attempt(role_group_id group, candidacy& c,
                                    time_point now,
                                    std::vector<role_group_id>& to_ask)
{
    const fleet_settings& fleet = m_members.current().fleet();
    if (c.wish_to.is_set() && now - c.wished_since < fleet.lease &&
        m_preference.is_alive(c.wish_to, now)) {
        append(m_wishes[c.wish_to], group);
        c.next = now + fleet.renew_every;
        return;
    }
    c.at = phase::asking;
    c.asked = now;
    c.wish_to = vm_id();
    c.first_round = m_rounds.last() + 1;
    c.grants = grant_quorum();
    c.refusers.clear();
    c.named = vm_id();
    c.next = now + fleet.renew_every / passes_per_renewal;
    to_ask.push_back(group);
}

// A grant that is not counted is given back, or it would keep others out.
void lease_candidate::take_grant(vm_id from, role_group_id group,
                                 const lease_rounds::record* round,
                                 std::uint64_t number, time_point now,
                                 outbox& out)
{
    const auto found = m_candidacies.find(group);
    if (found == m_candidacies.end() || found->second.at == phase::waiting) {
        append(m_releases[from], group);
        return;
    }
    candidacy& c = found->second;
    if (round == nullptr || number < c.first_round) {
        return;
    }
    const role_layout* layout = m_members.find(round->membership);
    if (layout == nullptr) {
        return;
    }
    const bool adopted = layout == &m_members.current();
    c.grants.add(from,
                 m_policy.holder_expiry(round->sent, now, layout->fleet()),
                 adopted);
    update(group, c, now, out);
}

void lease_candidate::take_refusal(vm_id from, const group_holder& refusal,
                                   std::uint64_t number, time_point now)
{
    const auto found = m_candidacies.find(refusal.group);
    if (found == m_candidacies.end() || found->second.at != phase::asking ||
        number < found->second.first_round || !refusal.holder.is_set()) {
        return;
    }
    candidacy& c = found->second;
    if (!contains(c.refusers, from)) {
        c.refusers.push_back(from);
    }
    if (refusal.holder != m_self.vm) {
        c.named = refusal.holder;
    }
    const std::size_t set = m_members.current().witnesses(refusal.group).size();
    if (c.refusers.size() + m_policy.majority(set) > set) {
        give_up(refusal.group, c, now);
    }
}

void lease_candidate::update(role_group_id group, candidacy& c, time_point now,
                             outbox& out)
{
    c.end = quorum_end(group, c, now);
    if (c.at == phase::asking && now < c.end) {
        c.at = phase::held;
        c.joined = true;
        m_changes.push_back({group, kind::acquired});
        out.log(log_code::lease_acquired,
                "group=" + std::to_string(group.value()));
    }
    if (c.at == phase::held && now >= c.end) {
        drop(group, out);
    }
}

// A lease that was held when the membership changed goes on resting on the old
// set, which every other VM needs too, until it has the new set as well.
time_point lease_candidate::quorum_end(role_group_id group, candidacy& c,
                                       time_point now)
{
    const std::vector<vm_id>& set = m_members.current().witnesses(group);
    const time_point end =
        c.grants.majority_expiry(set, m_policy.majority(set.size()));
    const role_layout* previous = m_members.previous();
    if (previous == nullptr || !previous->has(group)) {
        return end;
    }
    const std::vector<vm_id>& old_set = previous->witnesses(group);
    const std::size_t old_majority = m_policy.majority(old_set.size());
    const time_point old_end = c.grants.majority_expiry(old_set, old_majority);
    if (c.at == phase::held && !c.joined && now >= end) {
        return std::min(old_end, m_members.old_set_valid_until());
    }
    c.joined = true;
    if (!m_policy.requires_old_set()) {
        return end;
    }
    if (c.grants.has_adopted_majority(old_set, old_majority, now)) {
        m_proven.insert(group);
    }
    return m_proven.count(group) != 0 ? end : std::min(end, old_end);
}

void lease_candidate::give_up(role_group_id group, candidacy& c, time_point now)
{
    const fleet_settings& fleet = m_members.current().fleet();
    return_grants(group, c);
    c.grants = grant_quorum();
    c.at = phase::waiting;
    c.next = now + jittered(shortest_pause());
    if (!c.named.is_set() || !m_preference.is_alive(c.named, now)) {
        return;
    }
    const bool entitled =
        m_members.current().outranks(group, m_self.vm, c.named) ||
        !m_preference.is_usable(c.named, now);
    if (!entitled) {
        c.next = now + jittered(fleet.renew_every / 2);
        return;
    }
    c.wish_to = c.named;
    c.wished_since = now;
    append(m_wishes[c.wish_to], group);
    c.next = now + jittered(fleet.renew_every / passes_per_renewal);
}

void lease_candidate::drop_lapsed(time_point now, outbox& out)
{
    for (auto it = m_candidacies.begin(); it != m_candidacies.end();) {
        const role_group_id group = it->first;
        const candidacy& c = (it++)->second;
        if (c.at == phase::held && now >= c.end) {
            drop(group, out);
        }
    }
}

void lease_candidate::drop(role_group_id group, outbox& out)
{
    const auto found = m_candidacies.find(group);
    return_grants(group, found->second);
    if (found->second.at == phase::held) {
        m_changes.push_back({group, kind::lost});
        out.log(log_code::lease_expired,
                "group=" + std::to_string(group.value()));
    }
    m_candidacies.erase(found);
}

void lease_candidate::return_grants(role_group_id group, const candidacy& c)
{
    for (const grant_quorum::seat& seat : c.grants.seats()) {
        append(m_releases[seat.witness], group);
    }
}

// Names the round up to now: the groups are in no later ask, as asks are sent
// only after this.
void lease_candidate::flush(outbox& out)
{
    for (auto& [witness, groups] : std::exchange(m_releases, {})) {
        out.to_peer(witness, lease_release{groups, m_rounds.last()});
    }
    for (auto& [holder, groups] : std::exchange(m_wishes, {})) {
        out.to_peer(holder, role_release_request{groups});
    }
}

void lease_candidate::schedule(time_point now)
{
    const duration renewal = m_members.current().fleet().renew_every;
    m_due = std::min(m_next_consider, now + renewal);
    for (const auto& [group, c] : m_candidacies) {
        const bool held = c.at == phase::held;
        m_due = std::min(m_due, held ? std::min(m_next_renew, c.end) : c.next);
    }
}

duration lease_candidate::shortest_pause() const
{
    const duration renewal = m_members.current().fleet().renew_every;
    return renewal / (2 * passes_per_renewal);
}

duration lease_candidate::jittered(duration base)
{
    const auto bound = static_cast<std::uint64_t>(base.count()) + 1;
    return base + duration(static_cast<duration::rep>(m_random.below(bound)));
}

} // namespace cranberrywood
