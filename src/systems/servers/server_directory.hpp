#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_DIRECTORY_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_DIRECTORY_HPP

#include "core/gateway_messages.hpp"
#include "tables/server_table.hpp"

#include <functional>

namespace cranberrywood {

/**
 * Keeps the table of backend servers by the platform's list. An entry that
 * vanishes ends the server's use at once, unless the store was out of reach
 * a moment ago: then entries lapse, and those of live servers return.
 */
class server_directory
{
public:
    explicit server_directory(server_table& servers);

    void reported(const servers_reported& report, time_point now,
                  gateway_commands& out);
    void unlisted(backend_server_id server, time_point now,
                  gateway_commands& out);
    void contact_changed(const store_reachability_changed& contact,
                         time_point now);

    /** Drops rows that were unlisted and have nothing in flight. */
    void drop_unlisted(time_point now);

private:
    void put(const backend_server_entry& entry, time_point now,
             gateway_commands& out);
    void end_use(server_row& row, time_point now, gateway_commands& out) const;

    server_table& m_servers;
    bool m_reachable = false;
    time_point m_contact_since;
};

/** Takes note of what servers do with the requests that they are sent. */
class server_observer
{
public:
    explicit server_observer(server_table& servers);

    void sent(backend_server_id server, exchange_id exchange, time_point now);
    /** The server answered; run tells whether it worked on the request. */
    void answered(backend_server_id server, exchange_id exchange, bool run,
                  time_point now);
    /** The server said how long it stays cold. */
    void cold(backend_server_id server, duration remaining, time_point now);
    /** No answer came: the connection failed, or what came was invalid. */
    void failed(backend_server_id server, exchange_id exchange, time_point now);
    /** The exchange was given up before an answer came. */
    void cancelled(backend_server_id server, exchange_id exchange,
                   time_point now);

private:
    /** Removes the exchange; returns when it was sent. */
    static std::optional<time_point> take(server_row& row,
                                          exchange_id exchange);
    static void avoid(server_row& row, time_point now);

    server_table& m_servers;
};

} // namespace cranberrywood

#endif
