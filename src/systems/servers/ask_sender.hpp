#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_ASK_SENDER_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_ASK_SENDER_HPP

#include "core/role_view.hpp"
#include "systems/servers/owned_server.hpp"

#include <optional>

namespace cranberrywood {

/** Decides by the rules in force whether an ask may be sent. */
class send_gate
{
public:
    virtual ~send_gate() = default;
    /** Returns the outcome of an ask that must not be sent; else none. */
    virtual std::optional<shard_outcome> forbids(const owner_request& request,
                                                 const shard_ask& ask,
                                                 time_point now) const = 0;
    /** Returns whether a request may run at a server beside others. */
    virtual bool may_share(fingerprint /*print*/,
                           const std::vector<fingerprint>& /*others*/,
                           time_point /*now*/) const
    {
        return true;
    }
};

/** Counts of what the owner side did and dropped, since the start. */
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
 * Moves asks through a backend server's row: into its queue, to the server
 * when the window has room, and out with a result. The right to send is
 * checked again at each send.
 */
class ask_sender
{
public:
    ask_sender(const role_view& roles, const send_gate& gate,
               reply_merger& merger);

    /** Puts new settings in force. */
    void settings_changed(std::shared_ptr<const settings_index> settings);

    /** Takes an ask in, or finishes it; the row is null if there is none. */
    void accept(owned_server* row, const reply_merger::query_pointer& query,
                const shard_ask& ask, time_point now, outbox& out);
    /** Sends what the window has room for. */
    void send_queued(owned_server& row, time_point now, outbox& out);
    /** Handles a reply of the server. */
    void replied(owned_server& row, backend_reply reply, time_point now);
    /** Cancels an ask, wherever it is. */
    void cancel(owned_server& row, const reply_merger::query_pointer& query,
                sub_request_id id, outbox& out);
    /** Finishes all asks that wait, with one outcome. */
    void end_queue(owned_server& row, shard_outcome outcome);
    /**
     * Ends all asks in flight, as their link is gone. Returns their
     * fingerprints. The server may still work on them.
     */
    std::vector<request_at_crash> fail_in_flight(owned_server& row);
    /** Clears the window of requests of a process that is gone. */
    static void clear_orphans(owned_server& row);
    /** Drops late asks and gives up those without a reply in time. */
    void tick(owned_server& row, time_point now, outbox& out);

    /** Counts a reply that belongs to no ask. */
    void count_unmatched();
    /** Counts an ask that was seen before. */
    void count_repeated();
    /** Returns the counts since the start. */
    const dispatch_counts& counts() const;

private:
    std::optional<shard_outcome> refuses(const owned_server* row,
                                         const owner_request& request,
                                         const shard_ask& ask,
                                         time_point now) const;
    bool may_share(const owned_server& row, fingerprint print,
                   time_point now) const;
    void enqueue(owned_server& row, queued_ask item, time_point now);
    void send(owned_server& row, const queued_ask& item, time_point now,
              outbox& out);
    void settle(owned_server& row, const in_flight_ask& sent,
                backend_reply reply, time_point now);
    void give_up(owned_server& row, in_flight_ask& sent, outbox& out);
    void finish_late(owned_server& row);
    static void release_orphans(owned_server& row, time_point now);
    bool may_send(const owned_server& row, time_point now) const;
    void finish(const owned_server* row,
                const reply_merger::query_pointer& query, const shard_ask& ask,
                shard_outcome outcome);
    duration time_for(const owned_server& row, const owned_query& query,
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
