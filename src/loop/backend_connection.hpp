#ifndef CRANBERRYWOOD_LOOP_BACKEND_CONNECTION_HPP
#define CRANBERRYWOOD_LOOP_BACKEND_CONNECTION_HPP

#include "loop/backend_links.hpp"
#include "loop/message_reader.hpp"
#include "loop/stream_socket.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <optional>

namespace cranberrywood {

/** One exchange as a connection carries it. */
struct carried_exchange
{
    exchange_id id;
    std::string request_id;
    std::string bytes;
    /** The answer to a HEAD request has no body. */
    bool head = false;
    connection_keep keep{};
};

/** One connection to a backend server. */
class backend_connection
    : public stream_events,
      public std::enable_shared_from_this<backend_connection>
{
public:
    backend_connection(backend_links& links, backend_server_id server,
                       const endpoint& address);

    /** Connects and then sends the exchange. */
    void open(carried_exchange exchange);
    /** Reports the exchange as not connected, later. */
    void refuse(carried_exchange exchange);
    /** Connects and stays idle; the result is that of a probe. */
    void open_idle();
    /** Sends an exchange on the idle connection. */
    void send(carried_exchange exchange);
    /** Reads on if the memory pressure allows it again. */
    void pressure_fell()
    {
        m_stream->pressure_fell();
    }
    /** Closes and reports nothing. */
    void close();

    backend_server_id server() const
    {
        return m_server;
    }
    const endpoint& address() const
    {
        return m_address;
    }
    /** Returns how long it has carried nothing. */
    duration rested(time_point now) const
    {
        return now - m_idle_since;
    }
    /** Returns whether the server may close it for idleness soon. */
    bool idle_for_long(time_point now) const
    {
        return rested(now) > std::min(m_idle_limit, m_keep);
    }

    void bytes_came(std::string_view bytes) override;
    void end_came() override;
    void stream_failed() override;

private:
    void connect();
    void connected();
    void not_connected(exchange_fault fault);
    void write(carried_exchange exchange);
    void look(read_state state);
    void answer_complete();
    void finish(http_response response, bool reusable);
    /** The connection has ended; it may have been reset. */
    void lost(bool reset);
    void await_end_of_keep();
    void fail(exchange_fault fault);
    void learn_idle_limit(const http_response& response);

    backend_links& m_links;
    backend_server_id m_server;
    endpoint m_address;
    std::shared_ptr<stream_socket> m_stream;
    boost::asio::steady_timer m_connect_timer;
    boost::asio::steady_timer m_keep_timer;
    response_reader m_reader;
    /** Bytes of the answer so far. */
    memory_hold m_answer_held;
    /** Bytes of a request that waits for the connection. */
    memory_hold m_request_held;
    std::optional<carried_exchange> m_exchange;
    bool m_connected = false;
    /** It is opened for a probe that has not ended. */
    bool m_probing = false;
    /** The exchange was sent on an idle connection; nothing came back yet. */
    bool m_on_kept = false;
    /** How long the connection had been idle when the exchange was sent. */
    duration m_rested{0};
    time_point m_written_at;
    /** The kernel's estimate when the connection was set up. */
    duration m_round_trip{0};
    /** Bytes have come since the exchange was sent. */
    bool m_answering = false;
    /** It has carried an answer before. */
    bool m_carried = false;
    std::uint32_t m_strays = 0;
    /** Interim responses that came before the answer. */
    std::uint32_t m_interim = 0;
    time_point m_idle_since;
    duration m_idle_limit = std::chrono::seconds(8);
    /** Time for which this VM keeps it idle. */
    duration m_keep = duration::max();
};

} // namespace cranberrywood

#endif
