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

/** What happened to a role group on this VM. */
struct role_change
{
    enum class kind : std::uint8_t
    {
        /** This VM holds the group from now on. */
        acquired,
        /** This VM's lease ran out; another VM may hold the group. */
        lost,
        /** Drain the group's work, then release it. */
        release_wanted,
    };

    role_group_id group;
    kind what = kind::acquired;
};

/**
 * Candidate side of the role leases: asks the witnesses of a group for its
 * lease, renews it, and gives it up. Whether a lease is held is decided by
 * the clock at each call, not by the last tick.
 */
class lease_candidate
{
public:
    lease_candidate(const node_identity& self, random_source& random,
                    role_preference& preference, const memberships& members,
                    const lease_policy& policy);

    /** Takes a change of membership. */
    void membership_changed(time_point now, outbox& out);

    /** Takes note that the previous membership is forgotten. */
    void membership_settled(time_point now, outbox& out);

    /** Handles a witness's answer. */
    void receive(vm_id from, const lease_grant& message, time_point now,
                 outbox& out);

    /** Drains the groups for which the sender is the better candidate. */
    void handle_wish(vm_id from, role_group_id group, time_point now);

    /** Takes note that a group seems to have no holder. */
    void note_vacant(role_group_id group, time_point now);

    /** Takes note that another VM seems to hold a group. */
    void note_held(role_group_id group, vm_id holder);

    /** Gives up a group; nothing of its work may be running any more. */
    void release(role_group_id group, outbox& out);

    /** Stops acquiring, and wants all held groups to be released. */
    void leave(time_point now, outbox& out);

    /** Seeks, renews and gives up what is due. */
    void tick(time_point now, outbox& out);

    /** Takes the changes since the last call. */
    std::vector<role_change> take_changes();

    bool holds(role_group_id group, time_point now) const;
    time_point held_until(role_group_id group) const;

    /** Returns the number of groups that this VM holds or seeks. */
    std::size_t size() const;

private:
    enum class phase : std::uint8_t
    {
        /** Between two attempts. */
        waiting,
        /** Asks are under way. */
        asking,
        held,
    };

    struct candidacy
    {
        phase at = phase::waiting;
        /** Earlier rounds' grants may have been released; not counted. */
        std::uint64_t first_round = 0;
        grant_quorum grants;
        /** Witnesses that refused by naming a holder. */
        std::vector<vm_id> refusers;
        vm_id named;
        time_point asked;
        /** Next attempt when waiting, end of the attempt when asking. */
        time_point next;
        /** End of the lease when held. */
        time_point end;
        /** The lease rests on the present witness set, too. */
        bool joined = true;
        bool release_wanted = false;
        vm_id wish_to;
        time_point wished_since;
    };

    using candidacies = std::map<role_group_id, candidacy>;
    using batches = std::map<vm_id, std::vector<role_group_id>>;

    void choose_groups(time_point now);

    void run_due(time_point now, std::vector<role_group_id>& to_ask);
    void start_attempt(role_group_id group, candidacy& c, time_point now,
                       std::vector<role_group_id>& to_ask);
    void take_grant(vm_id from, role_group_id group,
                    const lease_rounds::record* round, std::uint64_t number,
                    time_point now, outbox& out);
    void take_refusal(vm_id from, const group_holder& refusal,
                      std::uint64_t number, time_point now);
    void update(role_group_id group, candidacy& c, time_point now, outbox& out);
    time_point quorum_end(role_group_id group, candidacy& c, time_point now);
    void give_up(role_group_id group, candidacy& c, time_point now);
    void drop_lapsed(time_point now, outbox& out);
    void drop(role_group_id group, outbox& out);
    void return_grants(role_group_id group, const candidacy& c);
    void flush(outbox& out);
    void schedule(time_point now);
    duration shortest_pause() const;
    duration jittered(duration base);

    node_identity m_self;
    random_source& m_random;
    role_preference& m_preference;
    const memberships& m_members;
    const lease_policy& m_policy;

    candidacies m_candidacies;
    lease_rounds m_rounds;
    batches m_releases;
    batches m_wishes;
    std::unordered_set<role_group_id> m_proven;
    std::vector<role_change> m_changes;
    time_point m_due;
    time_point m_next_consider;
    time_point m_next_renew;
    bool m_leaving = false;
};

} // namespace cranberrywood

#endif
