#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_ASK_SENDER_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_ASK_SENDER_HPP

#include "core/role_view.hpp"
#include "systems/servers/owned_server.hpp"

#include <optional>

namespace cranberrywood {

/** Decides by the rules in force whether a sub-request may be sent. */
class send_gate
{
public:
    virtual ~send_gate() = default;
    /** Returns the outcome of a sub-request that must not be sent, if so. */
    virtual std::optional<shard_outcome> forbids(const owner_request& request,
                                                 const shard_ask& ask,
                                                 time_point now) const = 0;
    /** Returns whether a request may run concurrently with others. */
    virtual bool may_share(fingerprint /*print*/,
                           const std::vector<fingerprint>& /*others*/,
                           time_point /*now*/) const
    {
        return true;
    }
};

/** Counts of sub-requests and replies at the owner since the start. */
struct dispatch_counts
{
    std::uint64_t sent = 0;
    std::uint64_t shed = 0;
    std::uint64_t late = 0;
    std::uint64_t unmatched_replies = 0;
    std::uint64_t repeated_asks = 0;
    std::uint64_t other_version_replies = 0;
};

/**
 * Queues the sub-requests for a backend server, sends them when its window has
 * room, and finishes each with a result. Lease and rules are checked both on
 * arrival and at the send.
 */
class ask_sender
{
public:
    ask_sender(const role_view& roles, const send_gate& gate,
               reply_merger& merger);

    /** Applies new settings. */
    void settings_changed(std::shared_ptr<const settings_index> settings);

    /**
     * Queues a sub-request, or finishes it if it is refused. The row is null
     * if this VM has none for the server.
     */
    void accept(owned_server* row, const reply_merger::query_pointer& query,
                const shard_ask& ask, time_point now, outbox& out);
    /** Sends queued sub-requests while the window has room. */
    void send_queued(owned_server& row, time_point now, outbox& out);
    /** Handles a reply from the server. */
    void replied(owned_server& row, backend_reply reply, time_point now);
    /** Cancels a sub-request that is queued or in flight. */
    void cancel(owned_server& row, const reply_merger::query_pointer& query,
                sub_request_id id, outbox& out);
    /** Finishes all queued sub-requests with one outcome. */
    void end_queue(owned_server& row, shard_outcome outcome);
    /**
     * Finishes all sub-requests in flight as unknown after their link was
     * lost, and returns them. The server may still work on them.
     */
    std::vector<request_at_crash> fail_in_flight(owned_server& row);
    /** Clears the window of requests sent to a process that has ended. */
    static void clear_orphans(owned_server& row);
    /**
     * Drops expired sub-requests from the queue and abandons repeatable ones
     * in flight past their deadline.
     */
    void tick(owned_server& row, time_point now, outbox& out);

    /** Counts a reply that matches no sub-request in flight. */
    void count_unmatched();
    /** Counts a sub-request that was received before. */
    void count_repeated();
    /** Returns the counts since the process started. */
    const dispatch_counts& counts() const;

private:
    std::optional<shard_outcome> check_refusal(const owned_server* row,
                                               const owner_request& request,
                                               const shard_ask& ask,
                                               time_point now) const;
    bool may_share(const owned_server& row, fingerprint print,
                   time_point now) const;
    void enqueue(owned_server& row, queued_ask item, time_point now);
    void send(owned_server& row, const queued_ask& item, time_point now,
              outbox& out);
    void process_reply(owned_server& row, const in_flight_ask& sent,
                       backend_reply reply, time_point now);
    void abandon(owned_server& row, in_flight_ask& sent, outbox& out);
    void finish_expired(owned_server& row);
    static void release_orphans(owned_server& row, time_point now);
    bool can_send(const owned_server& row, time_point now) const;
    void finish(const owned_server* row,
                const reply_merger::query_pointer& query, const shard_ask& ask,
                shard_outcome outcome);
    duration time_limit(const owned_server& row, const owned_query& query,
                        time_point now) const;
    std::uint32_t weight_of(workspace_id workspace) const;
    vm_id holder_of(backend_server_id server) const;

    const role_view& m_roles;
    const send_gate& m_gate;
    reply_merger& m_merger;
    std::shared_ptr<const settings_index> m_settings;
    dispatch_counts m_counts;
};

} // namespace cranberrywood

#endif
