#ifndef CRANBERRYWOOD_SYSTEMS_LOOKUPS_LOOKUP_CLIENT_HPP
#define CRANBERRYWOOD_SYSTEMS_LOOKUPS_LOOKUP_CLIENT_HPP

#include "core/admitted_request.hpp"
#include "core/node_identity.hpp"
#include "core/outbox.hpp"
#include "core/role_view.hpp"

#include <map>
#include <unordered_map>

namespace cranberrywood {

/** Set in the sequence of every query sent by this class. */
constexpr std::uint64_t lookup_client_bit = std::uint64_t(1) << 61;

/**
 * Entry side of non-repeatable requests: sends each to the owner of its id,
 * retries when no answer arrives, and answers the caller. A caller is answered
 * not_run only if an id owner has answered so and no ask is unanswered: an
 * unanswered ask may still run, and an earlier request with the same id may
 * have arrived at another VM.
 */
class lookup_client
{
public:
    lookup_client(node_identity self, role_view& roles);

    /** Starts an admitted request. */
    void start(const admitted_request& request, time_point now, outbox& out);

    /** Returns whether a reply to the query is for this class. */
    bool owns(query_id query) const;

    /** Handles an id owner's answer. */
    void receive(vm_id from, const lookup_reply& reply, time_point now,
                 outbox& out);

    /** Drops a disconnected caller; a request already sent is not cancelled. */
    void caller_gone(caller_token token);

    /** Asks again where a VM's previous process has not answered. */
    void peer_restarted(vm_id vm, time_point now, outbox& out);

    /** Sends due retries and ends requests past their deadline. */
    void tick(time_point now, outbox& out);

    /** Returns the number of requests that wait for an answer. */
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
    void clear_holder(const pending& p, vm_id holder);
    void handle_not_run(caller_token token, pending& p,
                        const lookup_reply& reply, outbox& out);
    void refuse(caller_token token, const pending& p, error_detail error,
                outbox& out);
    void finish(caller_token token, response answer, outbox& out);

    node_identity m_self;
    role_view& m_roles;
    pending_by_token m_pending;
    /** Callers by the queries sent for them. */
    std::unordered_map<query_id, caller_token> m_asks;
    std::uint64_t m_sequence = lookup_client_bit;
};

} // namespace cranberrywood

#endif
