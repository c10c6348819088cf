#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_MEMBERSHIPS_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_MEMBERSHIPS_HPP

#include "systems/members/role_layout.hpp"

namespace cranberrywood {

/**
 * The membership in force and, for a bounded time after a change, the one
 * before it. While both are known, acquisitions need both witness sets.
 */
class memberships
{
public:
    /** Returns whether any settings were taken yet. */
    bool known() const
    {
        return m_current != nullptr;
    }
    const role_layout& current() const
    {
        return *m_current;
    }
    /** Returns the membership before the change; null when it is over. */
    const role_layout* previous() const
    {
        return m_previous.get();
    }

    /**
     * Returns the membership that names the change itself: only a VM that
     * knows both sides can ask for it. Unset when no change is under way.
     */
    revision_number change() const;

    /** Returns the end of leases that rest on the previous set alone. */
    time_point old_set_valid_until() const
    {
        return m_old_set_valid_until;
    }

    /** Returns when VMs that don't know the change may acquire. */
    time_point unrestricted_from() const
    {
        return m_unrestricted_from;
    }

    /** Takes a settings revision; returns whether the membership changed. */
    bool take(std::shared_ptr<const settings_index> settings, time_point now);

    /** Forgets the previous membership in time; returns whether it did. */
    bool expire(time_point now);

    /** Returns the known layout of a membership, or null. */
    const role_layout* find(revision_number membership) const;

private:
    std::unique_ptr<role_layout> m_current;
    std::unique_ptr<role_layout> m_previous;
    time_point m_old_set_valid_until;
    time_point m_unrestricted_from;
    time_point m_previous_until;
};

} // namespace cranberrywood

#endif
