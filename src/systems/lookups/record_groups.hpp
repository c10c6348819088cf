#ifndef CRANBERRYWOOD_SYSTEMS_LOOKUPS_RECORD_GROUPS_HPP
#define CRANBERRYWOOD_SYSTEMS_LOOKUPS_RECORD_GROUPS_HPP

#include "core/messages.hpp"
#include "settings/settings.hpp"

#include <map>
#include <optional>
#include <set>

namespace cranberrywood {

/**
 * Id groups that this VM holds, and since when its records of each are
 * complete. A group that was not handed over is blind until the resend window
 * has passed: ids that it has no record of may have run under its last holder.
 */
class record_groups
{
public:
    /** Takes new timers. */
    void settings_changed(const fleet_settings& fleet);

    /** Holds a group; returns the records that were handed over, if any. */
    std::optional<std::vector<lookup_record>> start(role_group_id group,
                                                    time_point now);

    /** Takes a part; returns all records when a held group is now whole. */
    std::optional<std::vector<lookup_record>>
    take_part(const record_handover& part, time_point now);

    /** Holds a group no more. */
    void stop(role_group_id group);

    /** Takes no new ids of a group from now on. */
    void drain(role_group_id group);

    /** Returns whether a group is held. */
    bool held(role_group_id group) const;

    /** Returns whether a held group takes no new ids. */
    bool draining(role_group_id group) const;

    /** Returns whether ids without a record may have run. */
    bool blind(role_group_id group, time_point now) const;

    /** Returns how far back the records of a held group are complete. */
    duration complete_for(role_group_id group, time_point now) const;

    /** Returns for how long a record is kept. */
    duration record_life() const;

    /** Returns a duration of another VM's clock, at its longest on this. */
    duration with_drift(duration d) const;

    /** Notes that time passes; drops hand-overs after a pause. */
    void tick(time_point now);

private:
    struct held_group
    {
        time_point complete_since;
        bool draining = false;
    };

    /** Parts of a hand-over that came so far. */
    struct handover
    {
        std::uint64_t number = 0;
        std::uint32_t parts = 0;
        std::set<std::uint32_t> taken;
        time_point received;
        duration complete_for{0};
        std::vector<lookup_record> records;

        bool whole() const
        {
            return parts > 0 && taken.size() == parts;
        }
    };

    std::optional<std::vector<lookup_record>> use(role_group_id group,
                                                  time_point now);
    bool paused(time_point now) const;

    fleet_settings m_fleet;
    std::map<role_group_id, held_group> m_held;
    std::map<role_group_id, handover> m_handovers;
    time_point m_last_tick;
    time_point m_woke_at;
};

} // namespace cranberrywood

#endif
