#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_OWNED_SERVER_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_OWNED_SERVER_HPP

#include "systems/queries/fair_queue.hpp"
#include "systems/queries/reply_merger.hpp"
#include "systems/queries/request_at_crash.hpp"
#include "systems/servers/server_window.hpp"

namespace cranberrywood {

/** Link between this VM and a backend server that it owns. */
enum class link_state : std::uint8_t
{
    closed,
    opening,
    up,
};

/** An ask that waits in the queue of its backend server. */
struct queued_ask
{
    shard_ask ask;
    reply_merger::query_pointer query;
};

/** An ask that was sent to its backend server. */
struct in_flight_ask
{
    shard_ask ask;
    /** Null once the entry VM has been told a result. */
    reply_merger::query_pointer query;
    request_at_crash request;
    time_point sent_at;
    time_point deadline;
    /** Time at which the server stops to work on it. */
    time_point ends_at;
    /** The server was told to stop; its reply says nothing of its health. */
    bool cancelled = false;
};

/** Table row of a backend server that this VM owns, or has just owned. */
struct owned_server
{
    owned_server(const backend_server_settings& server,
                 const service_settings& limits, role_group_id owner_group)
        : id(server.id), group(owner_group), service(limits), window(limits),
          queue(limits.queue_limit, queue_quantum)
    {
    }

    // Keeps the parts of a query together at all owners while its workspace
    // is within its share.
    static constexpr std::uint32_t queue_quantum = 4;

    backend_server_id id;
    role_group_id group;
    service_settings service;
    server_window window;
    fair_queue<queued_ask> queue;
    std::unordered_map<sub_request_id, in_flight_ask> in_flight;
    /**
     * Ends of requests whose link was lost while they ran. They occupy the
     * window until then, unless the server proves to be a new process.
     */
    std::vector<time_point> orphan_ends;
    held_versions versions;

    /** The settings let the server have work. */
    bool in_service = true;
    /** No new asks: the role is about to be handed over. */
    bool draining = false;
    /** The role is gone; the row stays until nothing is in flight. */
    bool stopping = false;
    /** The server said that it drains. */
    bool server_drains = false;
    time_point server_drains_since;

    link_state link = link_state::closed;
    /** Process at the other end of the link, now or last. */
    incarnation process;
    std::uint32_t failed_opens = 0;
    time_point reopen_at;
    time_point last_work;
    /** Requests that were in flight when the link was lost. */
    std::vector<request_at_crash> lost_requests;

    /** Returns the number of requests that wait or run at the server. */
    std::uint32_t load() const
    {
        return static_cast<std::uint32_t>(queue.size()) + window.in_flight();
    }
    /** Returns whether nothing of this VM waits or runs at the server. */
    bool idle() const
    {
        return queue.empty() && in_flight.empty();
    }
};

} // namespace cranberrywood

#endif
