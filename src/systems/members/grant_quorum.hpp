#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_GRANT_QUORUM_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_GRANT_QUORUM_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <vector>

namespace cranberrywood {

/** Grants of one role group's lease that witnesses gave to this VM. */
class grant_quorum
{
public:
    /** One witness's grant and its expiry by this VM's clock. */
    struct grant
    {
        vm_id witness;
        time_point until;
        /** Whether it was granted under the membership in force here. */
        bool adopted = false;
    };

    /** Adds or extends the grant of a witness. */
    void add(vm_id witness, time_point until, bool adopted);

    /** Returns when fewer than `needed` grants of a set remain valid. */
    time_point expiry(const std::vector<vm_id>& set, std::size_t needed) const;

    /** Returns whether enough of a set granted under the new membership. */
    bool has_adopted_majority(const std::vector<vm_id>& set, std::size_t needed,
                              time_point now) const;

    /** Marks all grants as given under an older membership. */
    void mark_outdated();

    const std::vector<grant>& all() const;

private:
    const grant* find(vm_id witness) const;

    std::vector<grant> m_grants;
};

} // namespace cranberrywood

#endif
