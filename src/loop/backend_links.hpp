#ifndef CRANBERRYWOOD_LOOP_BACKEND_LINKS_HPP
#define CRANBERRYWOOD_LOOP_BACKEND_LINKS_HPP

#include "core/gateway_messages.hpp"
#include "loop/answer_match.hpp"
#include "loop/connection_counts.hpp"
#include "loop/http_types.hpp"
#include "loop/loop_context.hpp"
#include "loop/rest_limits.hpp"

#include <limits>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cranberrywood {

class backend_connection;

/** Who is told how exchanges end. */
class exchange_handler
{
public:
    virtual ~exchange_handler() = default;
    /** Returns whether an answer is to the request with this id. */
    virtual answer_match match(const http_response& response,
                               const std::string& request_id) const = 0;
    virtual void exchange_answered(exchange_id exchange,
                                   http_response response) = 0;
    virtual void exchange_failed(exchange_id exchange,
                                 exchange_fault fault) = 0;
    virtual void server_probed(backend_server_id server,
                               probe_result result) = 0;
};

/**
 * Connections to backend servers, kept between exchanges. One exchange uses
 * a connection at a time; bytes that belong to none end the connection.
 */
class backend_links
{
public:
    backend_links(loop_context& loop, exchange_handler& handler);
    ~backend_links();
    backend_links(const backend_links&) = delete;
    backend_links& operator=(const backend_links&) = delete;

    /** Sends the bytes of a request on a kept or a new connection. */
    void start(const start_exchange& exchange, std::string bytes);
    /** Ends an exchange by closing its connection; reports nothing. */
    void cancel(exchange_id exchange);

    /** Opens a connection and keeps it for the next exchange. */
    void probe(const probe_server& probe);

    /** Sets how many connections may be open or in the making. */
    void limit_connections(std::size_t most)
    {
        m_most = most;
    }
    /** Reads on where the memory pressure had stopped it. */
    void pressure_fell();
    /** Returns the number of connections that are open or in the making. */
    std::size_t connections() const
    {
        return m_busy.size() + m_probes.size() + idle_connections();
    }

    /** Closes connections that were idle for long. */
    void sweep(time_point now);

    std::size_t idle_connections() const;
    std::uint64_t connections_opened() const
    {
        return m_counts.opened;
    }
    const connection_counts& counts() const
    {
        return m_counts;
    }

private:
    friend class backend_connection;
    using connection_pointer = std::shared_ptr<backend_connection>;

    struct pool
    {
        endpoint address;
        std::vector<connection_pointer> idle;
    };

    pool& pool_of(backend_server_id server, const endpoint& address);
    connection_pointer take_idle(pool& p);
    /** Closes the longest idle connection if need be; says if one may open. */
    bool make_room();
    /** Keeps a connection, unless there are `most` idle ones. */
    void became_idle(const connection_pointer& connection, std::uint32_t most);
    /** An idle connection is closed. */
    void ended(backend_connection* connection, close_reason reason);
    void probed(const connection_pointer& connection, probe_result result);

    loop_context& m_loop;
    exchange_handler& m_handler;
    std::unordered_map<backend_server_id, pool> m_pools;
    std::unordered_map<exchange_id, connection_pointer> m_busy;
    /** Connections that are being opened for a probe. */
    std::unordered_map<backend_server_id, connection_pointer> m_probes;
    rest_limits m_rest_limits;
    connection_counts m_counts;
    std::size_t m_most = std::numeric_limits<std::size_t>::max();
};

} // namespace cranberrywood

#endif
