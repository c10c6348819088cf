#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_DIRECTORY_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_DIRECTORY_HPP

#include "core/gateway_messages.hpp"
#include "tables/server_table.hpp"

#include <functional>

namespace cranberrywood {

/**
 * Maintains the table of backend servers from the platform's list. A server
 * whose entry is removed gets no more requests, at once or, if the store is or
 * was recently unreachable, after a grace period: entries then expire even
 * though their servers are alive, and are listed again.
 */
class server_directory
{
public:
    explicit server_directory(server_table& servers);

    /** Returns the servers whose process is new. */
    std::vector<backend_server_id> reported(const servers_reported& report,
                                            time_point now,
                                            gateway_commands& out);
    void unlisted(backend_server_id server, time_point now,
                  gateway_commands& out);
    void contact_changed(const store_reachability_changed& contact,
                         time_point now);

    /** Records that the store was restored from an older copy. */
    void store_restored(time_point now);

    /** Removes the rows of unlisted servers that have nothing in flight. */
    void drop_unlisted(time_point now);

private:
    put_result put(const backend_server_entry& entry, time_point now,
                   gateway_commands& out);
    void mark_unlisted(server_row& row, time_point now,
                       gateway_commands& out) const;

    server_table& m_servers;
    bool m_store_reachable = false;
    time_point m_store_contact_since;
    /** End of the time in which servers write lost entries again. */
    time_point m_rewritten_by;
};

/** Records how servers respond to the requests that they are sent. */
class server_observer
{
public:
    explicit server_observer(server_table& servers);

    void sent(backend_server_id server, exchange_id exchange, time_point now);
    /** Records an answer; run is false if the server did not run the request.
     */
    void answered(backend_server_id server, exchange_id exchange, bool run,
                  time_point now);
    /** Records how long the server reports that it stays cold. */
    void cold(backend_server_id server, duration remaining, time_point now);
    /** Records that the server is leaving; returns whether that is new. */
    bool leaving(backend_server_id server);
    /** Records that the server wants no request for some time. */
    void closed(backend_server_id server, duration wait, time_point now);
    /** Records a failed connection or an invalid answer. */
    void failed(backend_server_id server, exchange_id exchange, time_point now);
    /** Records that the exchange was cancelled before an answer arrived. */
    void cancelled(backend_server_id server, exchange_id exchange,
                   time_point now);

private:
    /** Removes the exchange; returns the time at which it was sent. */
    static std::optional<time_point> take_outstanding(server_row& row,
                                                      exchange_id exchange);
    static void avoid(server_row& row, time_point now);

    server_table& m_servers;
};

} // namespace cranberrywood

#endif
