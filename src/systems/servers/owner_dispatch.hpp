#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_OWNER_DISPATCH_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_OWNER_DISPATCH_HPP

#include "systems/lookups/seen_ids.hpp"
#include "systems/servers/owner_links.hpp"

namespace cranberrywood {

/**
 * Owner side of queries. For each backend server whose owner group this VM
 * holds, it keeps the concurrency window, a fair queue, the requests in
 * flight and the link. All requests to a backend server go through its owner.
 */
class owner_dispatch
{
public:
    owner_dispatch(const role_view& roles, const send_gate& gate,
                   random_source& random);

    /** Applies new settings. */
    void settings_changed(std::shared_ptr<const settings_index> settings,
                          time_point now, outbox& out);

    /** Opens a link to a server whose group was acquired; it starts as cold. */
    void start_owning(backend_server_id server, time_point now, outbox& out);
    /**
     * Stops sending to a server whose group was lost. Requests in flight may
     * complete; the link is closed when none is left.
     */
    void stop_owning(backend_server_id server, time_point now, outbox& out);
    /** Sheds new sub-requests for a server; queued ones are still sent. */
    void drain(backend_server_id server);
    /** Returns whether no request is queued or in flight for a server. */
    bool idle(backend_server_id server) const;

    /** Handles the sub-requests of a query; the entry VM may be this one. */
    void receive(vm_id from, const owner_request& request, time_point now,
                 outbox& out);
    /** Handles the cancellation of sub-requests of a query. */
    void receive(vm_id from, const owner_cancel& cancelled, time_point now,
                 outbox& out);

    /** Handle the events of the links to backend servers. */
    void connected(const backend_connected& link, time_point now, outbox& out);
    void replied(const backend_replied& arrived, time_point now, outbox& out);
    void lost(const backend_lost& loss, time_point now, outbox& out);

    /** Drops expired requests, reopens links, resets unresponsive ones. */
    void tick(time_point now, outbox& out);
    /** Sends the results collected since the last call, once per batch. */
    void flush(time_point now, outbox& out);

    /** Takes the servers whose links were lost with requests in flight. */
    std::vector<suspected_crash> take_suspected_crashes();
    /** Takes those suspected crashes in which only the link was lost. */
    std::vector<suspected_crash> take_refuted_crashes();
    /** Takes the sub-requests that were completed. */
    std::vector<completed_part> take_completed();

    /** Returns the row of a server; null if this VM has none. */
    const owned_server* find(backend_server_id server) const;
    /** Returns the rows of all servers. */
    const std::unordered_map<backend_server_id, owned_server>& servers() const;
    /** Returns the number of queries with unfinished sub-requests. */
    std::size_t open_queries() const;
    /** Returns the counts since the process started. */
    const dispatch_counts& counts() const;

private:
    using rows = std::unordered_map<backend_server_id, owned_server>;

    owned_server* find_row(backend_server_id server);
    std::vector<shard_ask> drop_repeated_asks(const owner_request& request,
                                              time_point now);
    void apply_settings(owned_server& row, time_point now, outbox& out);
    void resume_owning(owned_server& row, time_point now, outbox& out);
    static bool can_remove(const owned_server& row, time_point now);

    const role_view& m_roles;
    std::shared_ptr<const settings_index> m_settings;
    rows m_servers;
    reply_merger m_merger;
    ask_sender m_sender;
    owner_links m_links;
    seen_ids<sub_request_id> m_seen_repeatable;
    seen_ids<sub_request_id> m_seen_non_repeatable;
};

} // namespace cranberrywood

#endif
