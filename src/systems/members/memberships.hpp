#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_MEMBERSHIPS_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_MEMBERSHIPS_HPP

#include "systems/members/role_layout.hpp"

namespace cranberrywood {

/**
 * The membership in force and, for a bounded time after a change, the previous
 * one. While both are known, acquisitions need both witness sets.
 */
class memberships
{
public:
    /** Returns whether any settings have been applied. */
    bool known() const
    {
        return m_current != nullptr;
    }
    const role_layout& current() const
    {
        return *m_current;
    }
    /** Returns the previous membership; null when it has expired. */
    const role_layout* previous() const
    {
        return m_previous.get();
    }

    /**
     * Returns the identifier of the change itself, derived from both
     * memberships, so that only a VM that knows both can name it in an ask.
     * Unset when no change is in progress.
     */
    revision_number change() const;

    /** Returns the latest expiry of leases granted by the old set alone. */
    time_point old_set_valid_until() const
    {
        return m_old_set_valid_until;
    }

    /** Returns when VMs that do not know the change may acquire leases. */
    time_point unrestricted_from() const
    {
        return m_unrestricted_from;
    }

    /** Applies a settings revision; returns whether the membership changed. */
    bool take(std::shared_ptr<const settings_index> settings, time_point now);

    /** Drops the previous membership when due; returns whether it did. */
    bool expire(time_point now);

    /** Returns the layout of a known membership or change, or null. */
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
