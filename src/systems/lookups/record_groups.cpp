#include "systems/lookups/record_groups.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

/** Gap between ticks from which the process counts as paused. */
constexpr duration min_pause = std::chrono::seconds(1);
/** Time after a pause within which arriving hand-overs may be stale. */
constexpr duration stale_time = std::chrono::seconds(1);

constexpr std::int64_t millionths = 1000000;

} // namespace

void record_groups::settings_changed(const fleet_settings& fleet)
{
    m_fleet = fleet;
}

std::optional<std::vector<lookup_record>>
record_groups::start(role_group_id group, time_point now)
{
    m_held[group] = {now, false};
    return apply_handover(group, now);
}

// A held group that may miss records has run nothing yet, so records that
// arrive late still make it complete.
std::optional<std::vector<lookup_record>>
record_groups::add_part(const record_handover& part, time_point now)
{
    const bool useful =
        !is_held(part.group) || may_miss_records(part.group, now);
    if (!useful || is_paused(now) || part.part >= part.parts) {
        return std::nullopt;
    }
    handover& h = m_handovers[part.group];
    if (h.number != part.number) {
        h = {};
        h.number = part.number;
        h.parts = part.parts;
        h.received_at = now;
        h.complete_for = part.complete_for;
    }
    if (part.parts != h.parts || !h.received_parts.insert(part.part).second) {
        return std::nullopt;
    }
    h.records.insert(h.records.end(), part.records.begin(), part.records.end());
    if (!is_held(part.group)) {
        return std::nullopt;
    }
    return apply_handover(part.group, now);
}

void record_groups::stop(role_group_id group)
{
    m_held.erase(group);
    m_handovers.erase(group);
}

void record_groups::drain(role_group_id group)
{
    const auto found = m_held.find(group);
    if (found != m_held.end()) {
        found->second.draining = true;
    }
}

bool record_groups::is_held(role_group_id group) const
{
    return m_held.count(group) > 0;
}

bool record_groups::is_draining(role_group_id group) const
{
    const auto found = m_held.find(group);
    return found != m_held.end() && found->second.draining;
}

bool record_groups::may_miss_records(role_group_id group, time_point now) const
{
    const auto found = m_held.find(group);
    return found == m_held.end() ||
           now < found->second.complete_since + record_life();
}

duration record_groups::complete_for(role_group_id group, time_point now) const
{
    const auto found = m_held.find(group);
    if (found == m_held.end()) {
        return duration(0);
    }
    return std::min(now - found->second.complete_since, 2 * record_life());
}

duration record_groups::record_life() const
{
    return with_drift(m_fleet.resend_window);
}

duration record_groups::with_drift(duration d) const
{
    const std::int64_t drift = m_fleet.clock_drift_ppm;
    return d + duration(d.count() / millionths * drift + drift);
}

// Messages that were queued during a pause may be stale.
void record_groups::tick(time_point now)
{
    if (is_paused(now)) {
        m_handovers.clear();
        m_stale_until = now + stale_time;
    }
    m_last_tick = now;
    for (auto it = m_handovers.begin(); it != m_handovers.end();) {
        const bool old =
            now - it->second.received_at >= m_fleet.resend_window / 2;
        it = old ? m_handovers.erase(it) : std::next(it);
    }
}

// The last holder runs nothing after its hand-over, and a holder in between
// that did not receive the records runs nothing within the resend window. So a
// hand-over younger than the window covers every request that has run.
std::optional<std::vector<lookup_record>>
record_groups::apply_handover(role_group_id group, time_point now)
{
    const auto found = m_handovers.find(group);
    if (found == m_handovers.end() || !found->second.is_complete()) {
        return std::nullopt;
    }
    handover h = std::move(found->second);
    m_handovers.erase(found);
    if (now - h.received_at >= m_fleet.resend_window / 2) {
        return std::nullopt;
    }
    const duration slack = with_drift(h.complete_for) - h.complete_for;
    m_held[group].complete_since = h.received_at - (h.complete_for - slack);
    return std::move(h.records);
}

bool record_groups::is_paused(time_point now) const
{
    const bool ticked = m_last_tick != time_point();
    return (ticked && now - m_last_tick >= min_pause) || now < m_stale_until;
}

} // namespace cranberrywood
