#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_LEASE_CANDIDATE_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_LEASE_CANDIDATE_HPP

#include "core/node_identity.hpp"
#include "core/outbox.hpp"
#include "core/random_source.hpp"
#include "systems/members/grant_quorum.hpp"
#include "systems/members/lease_policy.hpp"
#include "systems/members/lease_rounds.hpp"
#include "systems/members/memberships.hpp"
#include "systems/members/role_preference.hpp"

#include <map>
#include <unordered_set>

namespace cranberrywood {

/** Change of a role group's lease on this VM. */
struct role_change
{
    enum class kind : std::uint8_t
    {
        /** This VM has acquired the group's lease. */
        acquired,
        /** This VM's lease has expired; another VM may hold the group. */
        lost,
        /** Drain the group's work, then release it. */
        release_wanted,
    };

    role_group_id group;
    kind what = kind::acquired;
};

/**
 * Candidate side of the role leases: asks the witnesses of a group for its
 * lease, renews it and releases it. Whether a lease is held is decided by
 * the clock at each call, not by the last tick.
 */
class lease_candidate
{
public:
    lease_candidate(const node_identity& self, random_source& random,
                    role_preference& preference, const memberships& members,
                    const lease_policy& policy);

    /** Applies a change of membership. */
    void membership_changed(time_point now, outbox& out);

    /** Updates held leases after the previous membership has expired. */
    void membership_settled(time_point now, outbox& out);

    /** Handles a witness's answer to an ask. */
    void receive(vm_id from, const lease_grant& message, time_point now,
                 outbox& out);

    /** Requests release of a group if the sender is the better candidate. */
    void handle_wish(vm_id from, role_group_id group, time_point now);

    /** Brings the next attempt forward for a group that seems vacant. */
    void note_vacant(role_group_id group, time_point now);

    /** Redirects a pending role wish to the reported holder. */
    void note_held(role_group_id group, vm_id holder);

    /** Releases a group, whose work must have been drained before. */
    void release(role_group_id group, outbox& out);

    /** Stops acquiring and requests release of all held groups. */
    void leave(time_point now, outbox& out);

    /** Starts due attempts, renews held leases and drops expired ones. */
    void tick(time_point now, outbox& out);

    /** Takes the changes since the last call. */
    std::vector<role_change> take_changes();

    bool holds(role_group_id group, time_point now) const;
    time_point held_until(role_group_id group) const;

    /** Returns the number of groups held or sought. */
    std::size_t size() const;

private:
    enum class phase : std::uint8_t
    {
        /** Between two attempts. */
        waiting,
        /** Asks are in flight. */
        asking,
        held,
    };

    struct candidacy
    {
        phase at = phase::waiting;
        /** Grants of earlier rounds may have been released; not counted. */
        std::uint64_t first_round = 0;
        grant_quorum grants;
        /** Witnesses that refused by naming a holder. */
        std::vector<vm_id> refusers;
        /** Holder that a refusal named last. */
        vm_id holder;
        time_point asked_at;
        /** Start of the next attempt, or end of the one in flight. */
        time_point next;
        /** Expiry of the lease when held. */
        time_point end;
        /** Whether the current witness set has granted the lease, too. */
        bool on_new_set = true;
        bool release_wanted = false;
        /** Holder that is asked to hand over. */
        vm_id wish_target;
        time_point wished_since;
    };

    using candidacies = std::map<role_group_id, candidacy>;
    using batches = std::map<vm_id, std::vector<role_group_id>>;

    void update_candidacies(time_point now);

    void process_due(time_point now, std::vector<role_group_id>& to_ask);
    void start_attempt(role_group_id group, candidacy& c, time_point now,
                       std::vector<role_group_id>& to_ask);
    void handle_grant(vm_id from, role_group_id group,
                      const lease_rounds::record* round, std::uint64_t number,
                      time_point now, outbox& out);
    void handle_refusal(vm_id from, const group_holder& refusal,
                        std::uint64_t number, time_point now);
    void update(role_group_id group, candidacy& c, time_point now, outbox& out);
    time_point lease_expiry(role_group_id group, candidacy& c, time_point now);
    void abandon(role_group_id group, candidacy& c, time_point now);
    void drop_expired(time_point now, outbox& out);
    void drop(role_group_id group, outbox& out);
    void return_grants(role_group_id group, const candidacy& c);
    void send_batches(outbox& out);
    void update_due(time_point now);
    duration min_backoff() const;
    duration add_jitter(duration base);

    node_identity m_self;
    random_source& m_random;
    role_preference& m_preference;
    const memberships& m_members;
    const lease_policy& m_policy;

    candidacies m_candidacies;
    lease_rounds m_rounds;
    batches m_releases;
    batches m_wishes;
    std::unordered_set<role_group_id> m_old_set_adopted;
    std::vector<role_change> m_changes;
    time_point m_due;
    time_point m_next_pass;
    time_point m_next_renew;
    bool m_leaving = false;
};

} // namespace cranberrywood

#endif
