#include "systems/members/role_preference.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

// Maximum number of usable candidates ahead of this VM for it to be on standby.
constexpr std::size_t max_standby_rank = 3;

// Renewal intervals between two queries about groups that this VM is no witness
// of.
constexpr int renewals_per_query = 4;

bool contains(const std::vector<vm_id>& vms, vm_id vm)
{
    return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

} // namespace

role_preference::role_preference(const node_identity& self,
                                 const vm_liveness& liveness,
                                 const memberships& members,
                                 const lease_witness& witness)
    : m_self(self), m_liveness(liveness), m_members(members), m_witness(witness)
{
}

void role_preference::note_vacant(role_group_id group, time_point now)
{
    if (m_members.known() && m_members.current().has(group)) {
        m_vacant_since.emplace(group, now);
    }
}

void role_preference::note_held(role_group_id group)
{
    m_vacant_since.erase(group);
}

void role_preference::start_pass(time_point now)
{
    m_query_due = now >= m_next_query;
    if (m_query_due) {
        const duration renewal = m_members.current().fleet().renew_every;
        m_next_query = now + renewal * renewals_per_query;
    }
}

// A better candidate may be long gone although the VM list still has it. Each
// usable candidate ahead delays this VM by one renewal interval, so that
// candidates do not all seek at once.
bool role_preference::wants(role_group_id group, time_point now)
{
    const std::size_t ahead = usable_ahead(group, now);
    if (ahead == 0) {
        return true;
    }
    if (ahead > max_standby_rank) {
        return false;
    }
    check_holder(group, now);
    const auto vacant = m_vacant_since.find(group);
    const duration renewal = m_members.current().fleet().renew_every;
    return vacant != m_vacant_since.end() &&
           now - vacant->second >= renewal * static_cast<int>(ahead);
}

bool role_preference::is_alive(vm_id vm, time_point now) const
{
    return m_liveness.is_likely_alive(vm, now);
}

bool role_preference::is_usable(vm_id vm, time_point now) const
{
    return m_liveness.is_likely_alive(vm, now) && !m_liveness.is_leaving(vm);
}

vm_id role_preference::best_usable(role_group_id group, vm_id except,
                                   time_point now) const
{
    if (!m_members.known() || !m_members.current().has(group)) {
        return {};
    }
    const role_layout& layout = m_members.current();
    for (const vm_id vm : layout.candidates(group)) {
        if (vm != except && is_usable(vm, now)) {
            return vm;
        }
    }
    for (const vm_id vm : layout.all_candidates(group)) {
        if (vm != except && is_usable(vm, now)) {
            return vm;
        }
    }
    return {};
}

std::vector<role_group_id> role_preference::take_unwitnessed()
{
    return std::exchange(m_unwitnessed, {});
}

std::size_t role_preference::usable_ahead(role_group_id group,
                                          time_point now) const
{
    const role_layout& layout = m_members.current();
    const std::vector<vm_id>& cached = layout.candidates(group);
    const std::size_t ahead = usable_before_self(cached, now);
    if (ahead > 0 || contains(cached, m_self.vm)) {
        return contains(cached, m_self.vm) ? ahead : max_standby_rank + 1;
    }
    const std::vector<vm_id>& all = layout.all_candidates(group);
    const bool candidate = contains(all, m_self.vm);
    return candidate ? usable_before_self(all, now) : max_standby_rank + 1;
}

std::size_t
role_preference::usable_before_self(const std::vector<vm_id>& ranked,
                                    time_point now) const
{
    std::size_t usable = 0;
    for (const vm_id vm : ranked) {
        if (vm == m_self.vm || usable > max_standby_rank) {
            break;
        }
        usable += is_usable(vm, now) ? 1 : 0;
    }
    return usable;
}

void role_preference::check_holder(role_group_id group, time_point now)
{
    const role_layout& layout = m_members.current();
    if (!contains(layout.witnesses(group), m_self.vm)) {
        if (m_query_due) {
            m_unwitnessed.push_back(group);
        }
        return;
    }
    if (m_witness.is_recovering(layout, now)) {
        return;
    }
    if (m_witness.holder(group, now).is_set()) {
        note_held(group);
    } else {
        note_vacant(group, now);
    }
}

} // namespace cranberrywood
