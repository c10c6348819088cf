#ifndef CRANBERRYWOOD_SYSTEMS_LOOKUPS_LOOKUP_CLIENT_HPP
#define CRANBERRYWOOD_SYSTEMS_LOOKUPS_LOOKUP_CLIENT_HPP

#include "core/admitted_request.hpp"
#include "core/node_identity.hpp"
#include "core/outbox.hpp"
#include "core/role_view.hpp"

#include <map>
#include <unordered_map>

namespace cranberrywood {

/** Queries of this class have this bit in their sequence. */
constexpr std::uint64_t lookup_client_bit = std::uint64_t(1) << 61;

/**
 * Entry side of non-repeatable requests: hands each to the owner of its id,
 * asks again when an answer stays away, and answers the caller. A caller is
 * told not_run only when each of its asks was answered so by an id owner: an
 * ask without an answer may run, and an earlier request under the same id may
 * have come through another VM.
 */
class lookup_client
{
public:
    lookup_client(node_identity self, role_view& roles);

    /** Starts an admitted request. */
    void start(const admitted_request& request, time_point now, outbox& out);

    /** Returns whether a reply to the query is for this class. */
    bool owns(query_id query) const;

    /** Takes an id owner's answer. */
    void receive(vm_id from, const lookup_reply& reply, time_point now,
                 outbox& out);

    /** The caller waits no longer; a request that was sent goes on. */
    void caller_gone(caller_token token);

    /** Asks elsewhere what was asked of a VM's earlier process. */
    void peer_restarted(vm_id vm, time_point now, outbox& out);

    /** Asks again where due, and ends requests whose time is over. */
    void tick(time_point now, outbox& out);

    /** Returns how many requests wait for their answers. */
    std::size_t in_flight() const;

private:
    struct pending
    {
        lookup_ask ask;
        time_point deadline;
        time_point ask_again_at;
        vm_id asked;
        std::uint32_t asks = 0;
        std::uint32_t unanswered = 0;
        unsent_proof proof;
        error_detail last_error;
    };

    using pending_by_token = std::map<caller_token, pending>;

    void ask_owner(caller_token token, pending& p, time_point now, outbox& out);
    void forget_holder(const pending& p, vm_id holder);
    void take_not_run(caller_token token, pending& p, const lookup_reply& reply,
                      outbox& out);
    void refuse(caller_token token, const pending& p, error_detail error,
                outbox& out);
    void finish(caller_token token, response answer, outbox& out);

    node_identity m_self;
    role_view& m_roles;
    pending_by_token m_pending;
    /** Callers by the queries that were sent for them. */
    std::unordered_map<query_id, caller_token> m_asks;
    std::uint64_t m_sequence = lookup_client_bit;
};

} // namespace cranberrywood

#endif
