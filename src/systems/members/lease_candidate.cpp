#include "systems/members/lease_candidate.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using kind = role_change::kind;

// Passes over the groups per renewal interval.
constexpr int passes_per_renewal = 4;

bool contains(const std::vector<vm_id>& vms, vm_id vm)
{
    return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

void append_unique(std::vector<role_group_id>& groups, role_group_id group)
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
    m_old_set_adopted.clear();
    const role_layout* before = m_members.previous();
    const role_layout& after = m_members.current();
    for (auto it = m_candidacies.begin(); it != m_candidacies.end();) {
        const role_group_id group = it->first;
        candidacy& c = (it++)->second;
        if (!after.has(group)) {
            drop(group, out);
            continue;
        }
        c.grants.mark_outdated();
        if (c.at == phase::asking) {
            abandon(group, c, now);
        }
        const bool moved = before == nullptr ||
                           before->witnesses(group) != after.witnesses(group);
        c.on_new_set = c.on_new_set && !moved;
        if (c.at == phase::held) {
            update(group, c, now, out);
        }
    }
    m_due = now;
    send_batches(out);
}

void lease_candidate::membership_settled(time_point now, outbox& out)
{
    m_old_set_adopted.clear();
    for (auto it = m_candidacies.begin(); it != m_candidacies.end();) {
        const role_group_id group = it->first;
        candidacy& c = (it++)->second;
        if (c.at == phase::held) {
            update(group, c, now, out);
        }
    }
    send_batches(out);
}

void lease_candidate::receive(vm_id from, const lease_grant& message,
                              time_point now, outbox& out)
{
    drop_expired(now, out);
    const lease_rounds::record* round = m_rounds.find(message.round);
    for (const role_group_id group : message.granted) {
        handle_grant(from, group, round, message.round, now, out);
    }
    if (round != nullptr) {
        for (const group_holder& refusal : message.refused) {
            handle_refusal(from, refusal, message.round, now);
        }
    }
    send_batches(out);
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
        abandon(group, c, now);
    }
}

void lease_candidate::note_vacant(role_group_id group, time_point now)
{
    const auto found = m_candidacies.find(group);
    if (found == m_candidacies.end()) {
        m_next_pass = now;
    } else if (found->second.at == phase::waiting) {
        candidacy& c = found->second;
        const duration backoff = add_jitter(min_backoff());
        c.wish_target = vm_id();
        c.next = std::max(now, c.asked_at + backoff);
    }
    m_due = now;
}

void lease_candidate::note_held(role_group_id group, vm_id holder)
{
    const auto found = m_candidacies.find(group);
    if (found != m_candidacies.end() && found->second.wish_target.is_set()) {
        found->second.wish_target = holder;
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
    send_batches(out);
}

void lease_candidate::leave(time_point now, outbox& out)
{
    m_leaving = true;
    for (auto it = m_candidacies.begin(); it != m_candidacies.end();) {
        candidacy& c = it->second;
        if (c.at != phase::held) {
            abandon(it->first, c, now);
            it = m_candidacies.erase(it);
            continue;
        }
        if (!c.release_wanted) {
            c.release_wanted = true;
            m_changes.push_back({it->first, kind::release_wanted});
        }
        ++it;
    }
    send_batches(out);
}

void lease_candidate::tick(time_point now, outbox& out)
{
    if (!m_members.known() || now < m_due) {
        return;
    }
    drop_expired(now, out);
    if (now >= m_next_pass) {
        update_candidacies(now);
    }
    std::vector<role_group_id> to_ask;
    process_due(now, to_ask);
    send_batches(out);
    m_rounds.send(to_ask, now, out);
    update_due(now);
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

void lease_candidate::update_candidacies(time_point now)
{
    const role_layout& layout = m_members.current();
    m_next_pass = now + layout.fleet().renew_every / passes_per_renewal;
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
            abandon(group, found->second, now);
            m_candidacies.erase(found);
        }
    }
}

void lease_candidate::process_due(time_point now,
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
            abandon(group, c, now);
        } else if (now >= c.next) {
            start_attempt(group, c, now, to_ask);
        }
    }
}

// While a wish to a live holder is pending, asks would take the witnesses that
// it lacks; without a hand-over within one lease period, asks are sent again.
void lease_candidate::start_attempt(role_group_id group, candidacy& c,
                                    time_point now,
                                    std::vector<role_group_id>& to_ask)
{
    const fleet_settings& fleet = m_members.current().fleet();
    if (c.wish_target.is_set() && now - c.wished_since < fleet.lease &&
        m_preference.is_alive(c.wish_target, now)) {
        append_unique(m_wishes[c.wish_target], group);
        c.next = now + fleet.renew_every;
        return;
    }
    c.at = phase::asking;
    c.asked_at = now;
    c.wish_target = vm_id();
    c.first_round = m_rounds.last() + 1;
    c.grants = grant_quorum();
    c.refusers.clear();
    c.holder = vm_id();
    c.next = now + fleet.renew_every / passes_per_renewal;
    to_ask.push_back(group);
}

// An uncounted grant is released, or it would exclude other candidates.
void lease_candidate::handle_grant(vm_id from, role_group_id group,
                                   const lease_rounds::record* round,
                                   std::uint64_t number, time_point now,
                                   outbox& out)
{
    const auto found = m_candidacies.find(group);
    if (found == m_candidacies.end() || found->second.at == phase::waiting) {
        append_unique(m_releases[from], group);
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

void lease_candidate::handle_refusal(vm_id from, const group_holder& refusal,
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
        c.holder = refusal.holder;
    }
    const std::size_t set = m_members.current().witnesses(refusal.group).size();
    if (c.refusers.size() + m_policy.majority(set) > set) {
        abandon(refusal.group, c, now);
    }
}

void lease_candidate::update(role_group_id group, candidacy& c, time_point now,
                             outbox& out)
{
    c.end = lease_expiry(group, c, now);
    if (c.at == phase::asking && now < c.end) {
        c.at = phase::held;
        c.on_new_set = true;
        m_changes.push_back({group, kind::acquired});
        out.log(log_code::lease_acquired,
                "group=" + std::to_string(group.value()));
    }
    if (c.at == phase::held && now >= c.end) {
        drop(group, out);
    }
}

// A lease held when the membership changed relies on the old witness set, which
// every other VM needs too, until a majority of the new set grants it as well.
time_point lease_candidate::lease_expiry(role_group_id group, candidacy& c,
                                         time_point now)
{
    const std::vector<vm_id>& set = m_members.current().witnesses(group);
    const time_point end = c.grants.expiry(set, m_policy.majority(set.size()));
    const role_layout* previous = m_members.previous();
    if (previous == nullptr || !previous->has(group)) {
        return end;
    }
    const std::vector<vm_id>& old_set = previous->witnesses(group);
    const std::size_t old_majority = m_policy.majority(old_set.size());
    const time_point old_end = c.grants.expiry(old_set, old_majority);
    if (c.at == phase::held && !c.on_new_set && now >= end) {
        return std::min(old_end, m_members.old_set_valid_until());
    }
    c.on_new_set = true;
    if (!m_policy.requires_old_set()) {
        return end;
    }
    if (c.grants.has_adopted_majority(old_set, old_majority, now)) {
        m_old_set_adopted.insert(group);
    }
    return m_old_set_adopted.count(group) != 0 ? end : std::min(end, old_end);
}

void lease_candidate::abandon(role_group_id group, candidacy& c, time_point now)
{
    const fleet_settings& fleet = m_members.current().fleet();
    return_grants(group, c);
    c.grants = grant_quorum();
    c.at = phase::waiting;
    c.next = now + add_jitter(min_backoff());
    if (!c.holder.is_set() || !m_preference.is_alive(c.holder, now)) {
        return;
    }
    const bool may_wish =
        m_members.current().outranks(group, m_self.vm, c.holder) ||
        !m_preference.is_usable(c.holder, now);
    if (!may_wish) {
        c.next = now + add_jitter(fleet.renew_every / 2);
        return;
    }
    c.wish_target = c.holder;
    c.wished_since = now;
    append_unique(m_wishes[c.wish_target], group);
    c.next = now + add_jitter(fleet.renew_every / passes_per_renewal);
}

void lease_candidate::drop_expired(time_point now, outbox& out)
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
    for (const grant_quorum::grant& grant : c.grants.all()) {
        append_unique(m_releases[grant.witness], group);
    }
}

// Releases name the last round sent; asks of later rounds follow this call.
void lease_candidate::send_batches(outbox& out)
{
    for (auto& [witness, groups] : std::exchange(m_releases, {})) {
        out.to_peer(witness, lease_release{groups, m_rounds.last()});
    }
    for (auto& [holder, groups] : std::exchange(m_wishes, {})) {
        out.to_peer(holder, role_release_request{groups});
    }
}

void lease_candidate::update_due(time_point now)
{
    const duration renewal = m_members.current().fleet().renew_every;
    m_due = std::min(m_next_pass, now + renewal);
    for (const auto& [group, c] : m_candidacies) {
        const bool held = c.at == phase::held;
        m_due = std::min(m_due, held ? std::min(m_next_renew, c.end) : c.next);
    }
}

duration lease_candidate::min_backoff() const
{
    const duration renewal = m_members.current().fleet().renew_every;
    return renewal / (2 * passes_per_renewal);
}

duration lease_candidate::add_jitter(duration base)
{
    const auto bound = static_cast<std::uint64_t>(base.count()) + 1;
    return base + duration(static_cast<duration::rep>(m_random.below(bound)));
}

} // namespace cranberrywood
