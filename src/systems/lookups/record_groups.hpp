#ifndef CRANBERRYWOOD_SYSTEMS_LOOKUPS_RECORD_GROUPS_HPP
#define CRANBERRYWOOD_SYSTEMS_LOOKUPS_RECORD_GROUPS_HPP

#include "core/messages.hpp"
#include "settings/settings.hpp"

#include <map>
#include <optional>
#include <set>

namespace cranberrywood {

/**
 * Id groups that this VM holds, each with the time since which its records are
 * complete. Records of a group that was not handed over may be missing until
 * the resend window has passed: an id without a record may have run under the
 * last holder.
 */
class record_groups
{
public:
    /** Applies a new resend window and clock drift. */
    void settings_changed(const fleet_settings& fleet);

    /** Starts to hold a group; returns its records if it was handed over. */
    std::optional<std::vector<lookup_record>> start(role_group_id group,
                                                    time_point now);

    /** Adds a part; returns all records if it completes a held group. */
    std::optional<std::vector<lookup_record>>
    add_part(const record_handover& part, time_point now);

    /** Stops holding a group. */
    void stop(role_group_id group);

    /** Marks a held group as accepting no new ids. */
    void drain(role_group_id group);

    /** Returns whether a group is held. */
    bool is_held(role_group_id group) const;

    /** Returns whether a held group accepts no new ids. */
    bool is_draining(role_group_id group) const;

    /** Returns whether an id without a record may have run. */
    bool may_miss_records(role_group_id group, time_point now) const;

    /** Returns the time over which a held group's records are complete. */
    duration complete_for(role_group_id group, time_point now) const;

    /** Returns the time for which a record is kept. */
    duration record_life() const;

    /** Returns the longest local time for a duration of another VM's clock. */
    duration with_drift(duration d) const;

    /** Detects process pauses and drops old hand-overs. */
    void tick(time_point now);

private:
    struct held_group
    {
        time_point complete_since;
        bool draining = false;
    };

    /** Received parts of a hand-over. */
    struct handover
    {
        std::uint64_t number = 0;
        std::uint32_t parts = 0;
        std::set<std::uint32_t> received_parts;
        time_point received_at;
        duration complete_for{0};
        std::vector<lookup_record> records;

        bool is_complete() const
        {
            return parts > 0 && received_parts.size() == parts;
        }
    };

    std::optional<std::vector<lookup_record>>
    apply_handover(role_group_id group, time_point now);
    bool is_paused(time_point now) const;

    fleet_settings m_fleet;
    std::map<role_group_id, held_group> m_held;
    std::map<role_group_id, handover> m_handovers;
    time_point m_last_tick;
    time_point m_stale_until;
};

} // namespace cranberrywood

#endif
