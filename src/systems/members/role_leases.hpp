#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_ROLE_LEASES_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_ROLE_LEASES_HPP

#include "core/events.hpp"
#include "core/role_view.hpp"
#include "systems/members/holder_hints.hpp"
#include "systems/members/lease_candidate.hpp"
#include "systems/members/lease_witness.hpp"
#include "systems/members/role_preference.hpp"

namespace cranberrywood {

/**
 * Role leases of this VM: as a candidate it acquires, renews and hands over
 * role groups; as a witness it grants them. At any instant at most one process
 * in the fleet holds a group, under the conditions given in
 * docs/design/roles.md.
 */
class role_leases : public role_view
{
public:
    /** The referenced objects must outlive this one. */
    role_leases(const node_identity& self, random_source& random,
                const vm_liveness& liveness,
                const lease_policy& policy = default_lease_policy());
    role_leases(const role_leases&) = delete;
    role_leases& operator=(const role_leases&) = delete;

    /** Applies the settings revision in force. */
    void settings_changed(std::shared_ptr<const settings_index> settings,
                          time_point now, outbox& out);

    /**
     * Records that a new process replaced the one on a VM. Call it before any
     * message of the new process is handled.
     */
    void peer_restarted(vm_id vm);

    /** Handles the lease messages of peers. */
    void receive(vm_id from, const lease_ask& message, time_point now,
                 outbox& out);
    void receive(vm_id from, const lease_grant& message, time_point now,
                 outbox& out);
    void receive(vm_id from, const lease_release& message, time_point now,
                 outbox& out);
    void receive(vm_id from, const role_release_request& message,
                 time_point now, outbox& out);
    void receive(vm_id from, const holder_query& message, time_point now,
                 outbox& out);
    void receive(vm_id from, const holder_report& message, time_point now,
                 outbox& out);

    /** Runs the work that is due; cheap when there is none. */
    void tick(time_point now, outbox& out);

    /** Takes the changes since the last call, oldest first. */
    std::vector<role_change> take_changes();

    /** Releases a group after its work was drained. */
    void release(role_group_id group, time_point now, outbox& out);

    /** Stops acquiring and requests release of all held groups. */
    void leave(time_point now, outbox& out);

    /** Returns the best candidate to hold a group after this VM, or unset. */
    vm_id successor(role_group_id group, time_point now) const;

    bool holds(role_group_id group, time_point now) const override;
    time_point held_until(role_group_id group) const override;
    vm_id believed_holder(role_group_id group) const override;
    void update_believed_holder(role_group_id group, vm_id holder) override;
    const role_map& map() const override;

    /** Returns the number of groups held or sought. */
    std::size_t candidacies() const;

    /** Returns the number of leases granted as a witness. */
    std::size_t granted() const;

private:
    using batches = std::map<vm_id, std::vector<role_group_id>>;

    vm_id known_holder(role_group_id group, time_point now) const;
    bool is_witness(role_group_id group) const;
    void apply_report(const group_holder& report, time_point now);
    void notify_candidates(const std::vector<group_holder>& expired,
                           time_point now, outbox& out);
    void query_holders(time_point now, outbox& out);

    node_identity m_self;
    random_source& m_random;
    memberships m_members;
    lease_witness m_witness;
    role_preference m_preference;
    lease_candidate m_candidate;
    holder_hints m_hints;
    time_point m_now;
    time_point m_next_sweep;
};

} // namespace cranberrywood

#endif
