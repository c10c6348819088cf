#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_OWNER_DISPATCH_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_OWNER_DISPATCH_HPP

#include "systems/lookups/seen_ids.hpp"
#include "systems/servers/owner_links.hpp"

namespace cranberrywood {

/**
 * Owner side of a query: for each backend server whose owner group this VM
 * holds, it keeps the concurrency window, a fair queue, the requests in
 * flight and the link. All load on a backend server passes its owner.
 */
class owner_dispatch
{
public:
    owner_dispatch(const role_view& roles, const send_gate& gate,
                   random_source& random);

    /** Puts new settings in force. */
    void settings_changed(std::shared_ptr<const settings_index> settings,
                          time_point now, outbox& out);

    /** Opens a link to a server whose group was acquired; begins as cold. */
    void start_owning(backend_server_id server, time_point now, outbox& out);
    /**
     * Ends sends to a server whose group was lost. Requests in flight may
     * end; the link is closed when none is left.
     */
    void stop_owning(backend_server_id server, time_point now, outbox& out);
    /** Takes no new asks for a server; those that wait are finished. */
    void drain(backend_server_id server);
    /** Returns whether nothing waits or runs at a server. */
    bool idle(backend_server_id server) const;

    /** Handles parts of a query from an entry VM, which may be this one. */
    void receive(vm_id from, const owner_request& request, time_point now,
                 outbox& out);
    /** Handles the cancellation of parts of a query. */
    void receive(vm_id from, const owner_cancel& cancelled, time_point now,
                 outbox& out);

    /** Handles the events of the links to backend servers. */
    void connected(const backend_connected& link, time_point now, outbox& out);
    void replied(const backend_replied& arrived, time_point now, outbox& out);
    void lost(const backend_lost& loss, time_point now, outbox& out);

    /** Drops late work, reopens links, ends silent ones. */
    void tick(time_point now, outbox& out);
    /** Sends the results collected since the last call; once per batch. */
    void flush(time_point now, outbox& out);

    /** Takes the servers lost with requests in flight. */
    std::vector<suspected_crash> take_suspected_crashes();
    /** Takes those deaths that were only the loss of a link. */
    std::vector<suspected_crash> take_refuted_crashes();
    /** Takes the parts that were completed. */
    std::vector<completed_part> take_completed();

    /** Returns the row of a server; null when this VM has none. */
    const owned_server* find(backend_server_id server) const;
    /** Returns the rows of all servers. */
    const std::unordered_map<backend_server_id, owned_server>& servers() const;
    /** Returns the number of queries with parts that have not ended. */
    std::size_t open_queries() const;
    /** Returns the counts since the start. */
    const dispatch_counts& counts() const;

private:
    using rows = std::unordered_map<backend_server_id, owned_server>;

    owned_server* find_row(backend_server_id server);
    std::vector<shard_ask> fresh_asks(const owner_request& request,
                                      time_point now);
    void update(owned_server& row, time_point now, outbox& out);
    void resume(owned_server& row, time_point now, outbox& out);
    static bool may_remove(const owned_server& row, time_point now);

    const role_view& m_roles;
    std::shared_ptr<const settings_index> m_settings;
    rows m_servers;
    reply_merger m_merger;
    ask_sender m_sends;
    owner_links m_links;
    seen_ids<sub_request_id> m_seen;
    seen_ids<sub_request_id> m_seen_once_only;
};

} // namespace cranberrywood

#endif
