#ifndef CRANBERRYWOOD_TESTS_FAKES_MANUAL_ROLE_VIEW_HPP
#define CRANBERRYWOOD_TESTS_FAKES_MANUAL_ROLE_VIEW_HPP

#include "core/role_view.hpp"

#include <map>
#include <memory>

namespace cranberrywood::fakes {

/** Role view of one VM whose leases and hints a test sets by hand. */
class manual_role_view : public role_view
{
public:
    explicit manual_role_view(std::shared_ptr<const settings_index> settings)
        : m_map(std::move(settings))
    {
    }

    /** Holds every group until a time. */
    void hold_all_until(time_point until)
    {
        for (const auto group : m_map.groups()) {
            m_held[group] = until;
        }
    }
    /** Holds a group until a time. */
    void hold_until(role_group_id group, time_point until)
    {
        m_held[group] = until;
    }
    /** Believes that one VM holds every group. */
    void believe_all(vm_id holder)
    {
        for (const auto group : m_map.groups()) {
            m_believed[group] = holder;
        }
    }

    bool holds(role_group_id group, time_point now) const override
    {
        return now < held_until(group);
    }
    time_point held_until(role_group_id group) const override
    {
        const auto found = m_held.find(group);
        return found == m_held.end() ? time_point() : found->second;
    }
    vm_id believed_holder(role_group_id group) const override
    {
        const auto found = m_believed.find(group);
        return found == m_believed.end() ? vm_id() : found->second;
    }
    void update_believed_holder(role_group_id group, vm_id holder) override
    {
        m_believed[group] = holder;
    }
    const role_map& map() const override
    {
        return m_map;
    }

private:
    role_map m_map;
    std::map<role_group_id, time_point> m_held;
    std::map<role_group_id, vm_id> m_believed;
};

} // namespace cranberrywood::fakes

#endif
