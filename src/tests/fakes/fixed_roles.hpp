#ifndef CRANBERRYWOOD_TESTS_FAKES_FIXED_ROLES_HPP
#define CRANBERRYWOOD_TESTS_FAKES_FIXED_ROLES_HPP

#include "core/role_view.hpp"

namespace cranberrywood::fakes {

/** Role view of a VM that holds every group, until a test says otherwise. */
class fixed_roles : public role_view
{
public:
    explicit fixed_roles(std::shared_ptr<const settings_index> settings)
        : m_map(std::move(settings))
    {
    }

    bool holds(role_group_id /*group*/, time_point now) const override
    {
        return holds_all && now < until;
    }
    time_point held_until(role_group_id /*group*/) const override
    {
        return until;
    }
    vm_id believed_holder(role_group_id /*group*/) const override
    {
        return holder;
    }
    void learned_holder(role_group_id /*group*/, vm_id vm) override
    {
        holder = vm;
    }
    const role_map& map() const override
    {
        return m_map;
    }

    bool holds_all = true;
    time_point until = time_point::max();
    vm_id holder;

private:
    role_map m_map;
};

} // namespace cranberrywood::fakes

#endif
