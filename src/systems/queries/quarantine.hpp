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

/** What may be done with a request, by its fingerprint. */
enum class quarantine_status : std::uint8_t
{
    /** Nothing speaks against it. */
    free,
    /** A server died under it: no hedge, at most one more server a shard. */
    retry_limited,
    /** Two servers died under it: it runs no more. */
    refused,
};

/**
 * Strikes against requests under which backend servers died. A request that
 * was on a server when it died is a suspect until it completes on another
 * server of the same shard; a second death under it has it refused for a
 * while. Suspects do not share a server, so that a death speaks against one.
 */
class quarantine : public resend_policy
{
public:
    quarantine(vm_id self, role_view& roles);

    /** Takes the time for which strikes count. */
    void settings_changed(std::shared_ptr<const settings_index> settings);

    /** Returns what may be done with a request. */
    quarantine_status check(fingerprint print, time_point now) const;

    bool may_hedge(fingerprint print, time_point now) const override;
    bool may_retry(fingerprint print, std::size_t sends,
                   time_point now) const override;

    /** Returns whether a request may run beside others on one server. */
    bool may_share(fingerprint print, const std::vector<fingerprint>& others,
                   time_point now) const;

    /** Counts a server's death against the requests that it had. */
    void record_server_crash(backend_server_id server,
                             const std::vector<request_at_crash>& requests,
                             time_point now, outbox& out);

    /** A request completed on a server of a shard. */
    void record_completion(fingerprint print, shard_id shard);

    /** A request completed on every shard; tells who suspects it. */
    void record_full_completion(fingerprint print, outbox& out) override;

    /** Takes what a peer knows of a request. */
    void receive(vm_id from, const quarantine_notice& notice, time_point now,
                 outbox& out);

    /** Drops old strikes and passes refusals on to all VMs. */
    void tick(time_point now, outbox& out);

    /** Returns how many fingerprints are kept. */
    std::size_t size() const;

private:
    struct suspect
    {
        std::uint32_t strikes = 0;
        time_point last_strike;
        time_point until;
        /** Shards on which a server of this VM died under it. */
        std::set<shard_id> shards;
        /** VMs that told of strikes. */
        std::set<vm_id> reporters;
        /** VMs that were told of strikes. */
        std::set<vm_id> told;
    };

    using suspects_by_print = std::map<fingerprint, suspect>;

    /** A refusal that is being passed on. */
    struct spread
    {
        fingerprint print;
        std::size_t next = 0;
    };

    duration life() const;
    void clear(suspects_by_print::iterator it, vm_id told_by, outbox& out);
    suspect& keep(fingerprint print);
    void make_room();
    void strike(const request_at_crash& request, shard_id shard,
                const std::set<vm_id>& owners, time_point now, outbox& out);
    std::set<vm_id> owners_beside(const backend_server_settings& server) const;
    void spread_refusals(time_point now, outbox& out);

    vm_id m_self;
    role_view& m_roles;
    std::shared_ptr<const settings_index> m_settings;
    suspects_by_print m_suspects;
    std::vector<spread> m_spreads;
};

} // namespace cranberrywood

#endif
