#include "systems/members/role_leases.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

// Candidates that a witness notifies when a lease expires.
constexpr std::size_t candidates_to_notify = 2;

// Sweeps of the witness table per renewal interval.
constexpr int sweeps_per_renewal = 4;

// Minimum interval between two queries about one group.
constexpr duration query_interval = std::chrono::milliseconds(200);

} // namespace

role_leases::role_leases(const node_identity& self, random_source& random,
                         const vm_liveness& liveness,
                         const lease_policy& policy)
    : m_self(self), m_random(random), m_witness(self, policy),
      m_preference(self, liveness, m_members, m_witness),
      m_candidate(self, random, m_preference, m_members, policy)
{
}

void role_leases::settings_changed(
    std::shared_ptr<const settings_index> settings, time_point now, outbox& out)
{
    m_now = now;
    const bool first = !m_members.known();
    if (!m_members.take(std::move(settings), now) || first) {
        return;
    }
    m_witness.membership_changed(m_members);
    m_candidate.membership_changed(now, out);
    out.log(log_code::membership_changed,
            "membership=" +
                std::to_string(m_members.current().membership().value()));
}

void role_leases::peer_restarted(vm_id vm)
{
    m_witness.peer_restarted(vm);
}

void role_leases::receive(vm_id from, const lease_ask& message, time_point now,
                          outbox& out)
{
    m_now = now;
    if (m_members.known()) {
        out.to_peer(from, m_witness.ask(from, message, m_members, now));
    }
}

void role_leases::receive(vm_id from, const lease_grant& message,
                          time_point now, outbox& out)
{
    m_now = now;
    if (!m_members.known()) {
        return;
    }
    for (const group_holder& refusal : message.refused) {
        if (refusal.holder.is_set()) {
            apply_report(refusal, now);
        }
    }
    m_candidate.receive(from, message, now, out);
}

void role_leases::receive(vm_id from, const lease_release& message,
                          time_point now, outbox& /*out*/)
{
    m_now = now;
    m_witness.release(from, message);
}

void role_leases::receive(vm_id from, const role_release_request& message,
                          time_point now, outbox& out)
{
    m_now = now;
    if (!m_members.known()) {
        return;
    }
    holder_report report;
    for (const role_group_id group : message.groups) {
        m_candidate.handle_wish(from, group, now);
        if (!m_candidate.holds(group, now)) {
            report.holders.push_back({group, known_holder(group, now)});
        }
    }
    if (!report.holders.empty()) {
        out.to_peer(from, report);
    }
}

void role_leases::receive(vm_id from, const holder_query& message,
                          time_point now, outbox& out)
{
    m_now = now;
    if (!m_members.known()) {
        return;
    }
    const bool recovering = m_witness.is_recovering(m_members.current(), now);
    holder_report report;
    for (const role_group_id group : message.groups) {
        const vm_id holder = known_holder(group, now);
        // A recovering witness without an entry may have lost a grant.
        if (holder.is_set() || (!recovering && is_witness(group))) {
            report.holders.push_back({group, holder});
        }
    }
    if (!report.holders.empty()) {
        out.to_peer(from, report);
    }
}

void role_leases::receive(vm_id /*from*/, const holder_report& message,
                          time_point now, outbox& /*out*/)
{
    m_now = now;
    if (!m_members.known()) {
        return;
    }
    for (const group_holder& report : message.holders) {
        if (m_members.current().has(report.group)) {
            apply_report(report, now);
        }
    }
}

void role_leases::tick(time_point now, outbox& out)
{
    m_now = now;
    if (!m_members.known()) {
        return;
    }
    if (m_members.expire(now)) {
        m_candidate.membership_settled(now, out);
    }
    if (now >= m_next_sweep) {
        const duration renewal = m_members.current().fleet().renew_every;
        m_next_sweep = now + renewal / sweeps_per_renewal;
        notify_candidates(m_witness.remove_expired(now), now, out);
        for (const role_group_id group : m_preference.take_unwitnessed()) {
            m_hints.mark_for_query(group);
        }
    }
    m_candidate.tick(now, out);
    query_holders(now, out);
}

std::vector<role_change> role_leases::take_changes()
{
    return m_candidate.take_changes();
}

void role_leases::release(role_group_id group, time_point now, outbox& out)
{
    m_now = now;
    m_candidate.release(group, out);
    out.log(log_code::lease_released, "group=" + std::to_string(group.value()));
    const vm_id next = m_preference.best_usable(group, m_self.vm, now);
    if (next.is_set()) {
        out.to_peer(next, holder_report{{{group, vm_id()}}});
    }
}

void role_leases::leave(time_point now, outbox& out)
{
    m_now = now;
    m_candidate.leave(now, out);
}

vm_id role_leases::successor(role_group_id group, time_point now) const
{
    return m_preference.best_usable(group, m_self.vm, now);
}

bool role_leases::holds(role_group_id group, time_point now) const
{
    return m_candidate.holds(group, now);
}

time_point role_leases::held_until(role_group_id group) const
{
    return m_candidate.held_until(group);
}

vm_id role_leases::believed_holder(role_group_id group) const
{
    const vm_id known = known_holder(group, m_now);
    if (known.is_set()) {
        return known;
    }
    const vm_id named = m_hints.find(group, m_now);
    if (named.is_set()) {
        return named;
    }
    return m_preference.best_usable(group, vm_id(), m_now);
}

void role_leases::update_believed_holder(role_group_id group, vm_id holder)
{
    if (!m_members.known() || !m_members.current().has(group)) {
        return;
    }
    if (!holder.is_set()) {
        m_hints.invalidate(group);
        return;
    }
    const duration lifetime = 2 * m_members.current().fleet().lease;
    m_hints.record(group, holder, m_now + lifetime);
}

const role_map& role_leases::map() const
{
    return m_members.current().map();
}

std::size_t role_leases::candidacies() const
{
    return m_candidate.size();
}

std::size_t role_leases::granted() const
{
    return m_witness.size();
}

vm_id role_leases::known_holder(role_group_id group, time_point now) const
{
    return m_candidate.holds(group, now) ? m_self.vm
                                         : m_witness.holder(group, now);
}

bool role_leases::is_witness(role_group_id group) const
{
    const auto& set = m_members.current().witnesses(group);
    return std::find(set.begin(), set.end(), m_self.vm) != set.end();
}

void role_leases::apply_report(const group_holder& report, time_point now)
{
    if (!report.holder.is_set()) {
        m_preference.note_vacant(report.group, now);
        m_candidate.note_vacant(report.group, now);
        return;
    }
    // A former process of this VM holds the group; its lease can only expire.
    if (report.holder == m_self.vm) {
        return;
    }
    update_believed_holder(report.group, report.holder);
    m_preference.note_held(report.group);
    m_candidate.note_held(report.group, report.holder);
}

// Candidates in a large fleet are rarely witnesses of the groups for which they
// are on standby; the witnesses are first to detect that a holder is gone.
void role_leases::notify_candidates(const std::vector<group_holder>& expired,
                                    time_point now, outbox& out)
{
    std::map<vm_id, holder_report> reports;
    for (const group_holder& expired_lease : expired) {
        std::size_t notified = 0;
        for (const vm_id vm :
             m_members.current().candidates(expired_lease.group)) {
            if (vm == expired_lease.holder ||
                !m_preference.is_usable(vm, now)) {
                continue;
            }
            reports[vm].holders.push_back({expired_lease.group, vm_id()});
            if (++notified == candidates_to_notify) {
                break;
            }
        }
    }
    for (const auto& [vm, report] : reports) {
        out.to_peer(vm, report);
    }
}

void role_leases::query_holders(time_point now, outbox& out)
{
    batches queries;
    for (const role_group_id group :
         m_hints.take_due_queries(now, query_interval)) {
        const auto& set = m_members.current().witnesses(group);
        if (set.empty() || is_witness(group)) {
            continue;
        }
        queries[set[m_random.below(set.size())]].push_back(group);
    }
    for (const auto& [witness, groups] : queries) {
        out.to_peer(witness, holder_query{groups});
    }
}

} // namespace cranberrywood
