#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_OWNED_SERVER_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_OWNED_SERVER_HPP

#include "systems/queries/fair_queue.hpp"
#include "systems/queries/reply_merger.hpp"
#include "systems/queries/request_at_crash.hpp"
#include "systems/servers/server_window.hpp"

namespace cranberrywood {

/** State of the link from this VM to a backend server that it owns. */
enum class link_state : std::uint8_t
{
    closed,
    opening,
    up,
};

/** A sub-request waiting in the queue of its backend server. */
struct queued_ask
{
    shard_ask ask;
    reply_merger::query_pointer query;
};

/** A sub-request that was sent and has not been answered. */
struct in_flight_ask
{
    shard_ask ask;
    /** Null once a result has been sent to the entry VM. */
    reply_merger::query_pointer query;
    request_at_crash request;
    time_point sent_at;
    time_point deadline;
    /** Time after which the server no longer works on it. */
    time_point ends_at;
    /** Cancelled at the server; the reply does not count as a failure. */
    bool cancelled = false;
};

/** State of a backend server that this VM owns or recently owned. */
struct owned_server
{
    owned_server(const backend_server_settings& server,
                 const service_settings& limits, role_group_id owner_group)
        : id(server.id), group(owner_group), service(limits), window(limits),
          queue(limits.queue_limit, queue_quantum)
    {
    }

    // With a quantum of several sub-requests, those of one query are sent
    // together at all owners while their workspace is within its share.
    static constexpr std::uint32_t queue_quantum = 4;

    backend_server_id id;
    role_group_id group;
    service_settings service;
    server_window window;
    fair_queue<queued_ask> queue;
    std::unordered_map<sub_request_id, in_flight_ask> in_flight;
    /**
     * End times of requests whose link was lost while they ran. Each occupies
     * the window until its end, unless the server is found to be a new process.
     */
    std::vector<time_point> orphan_ends;
    held_versions versions;

    /** The settings allow requests to the server. */
    bool in_service = true;
    /** New sub-requests are shed, as the role is about to be handed over. */
    bool draining = false;
    /** The role is lost; the row stays until nothing is in flight. */
    bool stopping = false;
    /** The server has reported that it is draining. */
    bool server_draining = false;
    time_point server_draining_since;

    link_state link = link_state::closed;
    /** Incarnation of the server process last connected. */
    incarnation process;
    std::uint32_t failed_connects = 0;
    time_point reconnect_at;
    time_point last_active_at;
    /** Requests that were in flight when the link was last lost. */
    std::vector<request_at_crash> lost_requests;

    /** Returns the number of requests queued for or in flight at the server. */
    std::uint32_t load() const
    {
        return static_cast<std::uint32_t>(queue.size()) + window.in_flight();
    }
    /** Returns whether no request is queued or in flight. */
    bool idle() const
    {
        return queue.empty() && in_flight.empty();
    }
};

} // namespace cranberrywood

#endif
