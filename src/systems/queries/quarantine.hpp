#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_QUARANTINE_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_QUARANTINE_HPP

#include "core/outbox.hpp"
#include "core/role_view.hpp"
#include "systems/queries/request_at_crash.hpp"
#include "systems/queries/resend_policy.hpp"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace cranberrywood {

/** Restrictions on requests with a given fingerprint. */
enum class quarantine_status : std::uint8_t
{
    /** No restriction. */
    free,
    /**
     * A server crashed while running it: no hedges, at most one retry per
     * shard.
     */
    retry_limited,
    /** It has two strikes: it is refused until they expire. */
    refused,
};

/**
 * Counts strikes against requests that were in flight on a backend server when
 * it crashed. Such a request is a suspect until it completes on another server
 * of the same shard; a second strike has it refused until the strikes expire.
 * Suspects do not share a server, so that a crash can be attributed to one of
 * them.
 */
class quarantine : public resend_policy
{
public:
    quarantine(vm_id self, role_view& roles);

    /** Applies a settings revision, which sets the lifetime of strikes. */
    void settings_changed(std::shared_ptr<const settings_index> settings);

    /** Returns the restrictions on a request. */
    quarantine_status check(fingerprint print, time_point now) const;

    bool may_hedge(fingerprint print, time_point now) const override;
    bool may_retry(fingerprint print, std::size_t sends,
                   time_point now) const override;

    /**
     * Returns whether a request may run concurrently with others on one server.
     */
    bool may_share(fingerprint print, const std::vector<fingerprint>& others,
                   time_point now) const;

    /** Adds a strike to the requests that a crashed server had in flight. */
    void record_server_crash(backend_server_id server,
                             const std::vector<request_at_crash>& requests,
                             time_point now, outbox& out);

    /** Records that a request completed on a server of a shard. */
    void record_completion(fingerprint print, shard_id shard);

    /**
     * Records that a request completed on every shard, and notifies the VMs
     * that suspect it.
     */
    void record_full_completion(fingerprint print, outbox& out) override;

    /** Applies a notice from a peer. */
    void receive(vm_id from, const quarantine_notice& notice, time_point now,
                 outbox& out);

    /**
     * Removes expired strikes, repeats notices of strikes and sends pending
     * refusals to all VMs.
     */
    void tick(time_point now, outbox& out);

    /** Returns the number of tracked fingerprints. */
    std::size_t size() const;

private:
    struct suspect
    {
        std::uint32_t strikes = 0;
        time_point last_strike;
        time_point until;
        /**
         * Shards on which a server crashed while running it, as seen here or in
         * notices.
         */
        std::set<shard_id> shards;
        /** All such shards, also those on which it has completed since. */
        std::set<shard_id> struck_shards;
        /** VMs that reported strikes. */
        std::set<vm_id> reporters;
        /** VMs that were notified of strikes. */
        std::set<vm_id> notified;
        time_point repeat_at;
    };

    using suspects_by_print = std::map<fingerprint, suspect>;

    /** A refusal that is being sent to all VMs, a few per tick. */
    struct broadcast
    {
        fingerprint print;
        std::size_t next = 0;
    };

    duration strike_lifetime() const;
    void clear(suspects_by_print::iterator it, vm_id source, outbox& out);
    suspect& find_or_insert(fingerprint print);
    void evict_one();
    void add_strike(const request_at_crash& request, shard_id shard,
                    const std::set<vm_id>& owners, time_point now, outbox& out);
    std::set<vm_id> owners_of_replicas(shard_id shard) const;
    void broadcast_refusals(time_point now, outbox& out);
    void repeat_notices(time_point now, outbox& out);
    /** Sends the strikes on one shard again; returns the number of messages. */
    std::size_t repeat_notice(fingerprint print, suspect& s, shard_id shard,
                              time_point now, outbox& out);

    vm_id m_self;
    role_view& m_roles;
    std::shared_ptr<const settings_index> m_settings;
    suspects_by_print m_suspects;
    std::vector<broadcast> m_broadcasts;
};

} // namespace cranberrywood

#endif
