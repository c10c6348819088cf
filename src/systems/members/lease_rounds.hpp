#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_LEASE_ROUNDS_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_LEASE_ROUNDS_HPP

#include "core/outbox.hpp"
#include "systems/members/memberships.hpp"

#include <map>

namespace cranberrywood {

/**
 * Numbered rounds of lease asks. A round goes to all witnesses of its groups,
 * one message per witness; its send time is kept for as long as its grants can
 * count.
 */
class lease_rounds
{
public:
    /** A round that was sent. */
    struct record
    {
        time_point sent;
        revision_number membership;
    };

    explicit lease_rounds(const memberships& members);

    /** Returns the number of the last round sent. */
    std::uint64_t last() const;

    /** Returns a round sent within the last lease period, or null. */
    const record* find(std::uint64_t round) const;

    /** Asks for groups; during a membership change, under both. */
    void send(const std::vector<role_group_id>& groups, time_point now,
              outbox& out);

private:
    using batches = std::map<vm_id, std::vector<role_group_id>>;

    void send_round(const batches& asks, const role_layout& layout,
                    revision_number membership, time_point now, outbox& out);
    batches group_by_witness(const std::vector<role_group_id>& groups,
                             const role_layout& layout) const;

    const memberships& m_members;
    std::map<std::uint64_t, record> m_sent;
    std::uint64_t m_last = 0;
};

} // namespace cranberrywood

#endif
