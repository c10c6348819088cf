#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_GRANT_QUORUM_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_GRANT_QUORUM_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <vector>

namespace cranberrywood {

/** Grants that the witnesses of one role group gave to this VM. */
class grant_quorum
{
public:
    /** A witness's grant and its end by this VM's clock. */
    struct seat
    {
        vm_id witness;
        time_point until;
        /** The witness granted under the membership in force here. */
        bool adopted = false;
    };

    /** Adds or extends the grant of a witness. */
    void add(vm_id witness, time_point until, bool adopted);

    /** Returns when fewer than the needed members of a set still grant. */
    time_point majority_expiry(const std::vector<vm_id>& set,
                               std::size_t needed) const;

    /** Returns whether enough of a set grant under the new membership. */
    bool has_adopted_majority(const std::vector<vm_id>& set, std::size_t needed,
                              time_point now) const;

    /** Marks all grants as given under an older membership. */
    void age();

    /** Returns the grants. */
    const std::vector<seat>& seats() const;

private:
    const seat* find(vm_id witness) const;

    std::vector<seat> m_seats;
};

} // namespace cranberrywood

#endif
