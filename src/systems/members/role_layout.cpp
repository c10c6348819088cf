#include "systems/members/role_layout.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

const std::vector<vm_id> no_vms;

std::uint64_t hash_of_slots(const settings_index& settings)
{
    std::vector<std::pair<std::uint64_t, std::uint64_t>> slots;
    for (const auto& vm : settings.all().vms) {
        slots.emplace_back(vm.id.value(), vm.data_centre.value());
    }
    std::sort(slots.begin(), slots.end());
    std::uint64_t hash = 0;
    for (const auto& [vm, centre] : slots) {
        hash = stable_hash(stable_hash(hash, vm), centre);
    }
    return hash;
}

std::uint64_t hash_of_centres(const settings_index& settings)
{
    std::vector<std::uint64_t> centres;
    for (const auto& centre : settings.all().data_centres) {
        centres.push_back(centre.id.value());
    }
    std::sort(centres.begin(), centres.end());
    std::uint64_t hash = 0;
    for (const std::uint64_t centre : centres) {
        hash = stable_hash(hash, centre);
    }
    return hash;
}

std::size_t rank_in(const std::vector<vm_id>& ranked, vm_id vm)
{
    const auto found = std::find(ranked.begin(), ranked.end(), vm);
    return static_cast<std::size_t>(found - ranked.begin());
}

} // namespace

role_layout::role_layout(std::shared_ptr<const settings_index> settings)
    : m_settings(std::move(settings)), m_membership(membership_of(*m_settings)),
      m_map(m_settings)
{
    for (const role_group_id group : m_map.groups()) {
        group_sets& entry = m_groups[group];
        entry.witnesses = m_map.witnesses(group);
        entry.witnesses.shrink_to_fit();
        const std::vector<vm_id> ranked = m_map.candidates(group);
        const std::size_t kept = std::min(ranked.size(), cached_candidates);
        entry.candidates.assign(
            ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept));
    }
}

revision_number role_layout::membership_of(const settings_index& settings)
{
    const fleet_settings& fleet = settings.fleet();
    std::uint64_t hash = hash_of_slots(settings);
    hash = stable_hash(hash, hash_of_centres(settings));
    hash = stable_hash(hash, static_cast<std::uint64_t>(fleet.lease.count()));
    hash = stable_hash(hash, fleet.clock_drift_ppm);
    hash = stable_hash(hash, fleet.witnesses);
    hash = stable_hash(hash, fleet.shared_groups);
    hash = stable_hash(hash, fleet.groups_per_data_centre);
    return revision_number(hash);
}

void role_layout::update_settings(
    std::shared_ptr<const settings_index> settings)
{
    m_settings = std::move(settings);
    m_map = role_map(m_settings);
}

bool role_layout::has(role_group_id group) const
{
    return m_groups.count(group) != 0;
}

const std::vector<vm_id>& role_layout::witnesses(role_group_id group) const
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? no_vms : found->second.witnesses;
}

const std::vector<vm_id>& role_layout::candidates(role_group_id group) const
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? no_vms : found->second.candidates;
}

const std::vector<vm_id>& role_layout::all_candidates(role_group_id group) const
{
    const std::vector<vm_id>& cached = candidates(group);
    if (cached.size() == m_settings->all().vms.size()) {
        return cached;
    }
    std::vector<vm_id>& ranked = m_all_candidates[group];
    if (ranked.empty()) {
        ranked = m_map.candidates(group);
    }
    return ranked;
}

bool role_layout::outranks(role_group_id group, vm_id first, vm_id second) const
{
    const std::vector<vm_id>& cached = candidates(group);
    const std::size_t a = rank_in(cached, first);
    const std::size_t b = rank_in(cached, second);
    if (a < cached.size() || b < cached.size() ||
        cached.size() < cached_candidates) {
        return a < b;
    }
    const std::vector<vm_id>& ranked = all_candidates(group);
    return rank_in(ranked, first) < rank_in(ranked, second);
}

} // namespace cranberrywood
