#ifndef CRANBERRYWOOD_LOOP_CALLER_FRONT_HPP
#define CRANBERRYWOOD_LOOP_CALLER_FRONT_HPP

#include "loop/http_types.hpp"
#include "loop/loop_context.hpp"
#include "loop/message_reader.hpp"
#include "loop/stream_socket.hpp"
#include "units/endpoint.hpp"
#include "units/ids.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cranberrywood {

class caller_connection;

/** Bounds on what callers may send, and how long they may take. */
struct front_limits
{
    message_limits message;
    duration header_timeout = std::chrono::seconds(5);
    duration idle_timeout = std::chrono::seconds(30);
    std::size_t max_connections = 2000;
    /** Bytes of answers that callers have not taken, over all connections. */
    std::size_t max_held_bytes = 64UL * 1024 * 1024;
};

/** Connections that were closed to free memory or descriptors. */
struct closed_connections
{
    std::uint64_t slow_readers = 0;
    std::uint64_t slow_bodies = 0;
    std::uint64_t idle = 0;
    /** Turned away, as no connection was idle. */
    std::uint64_t turned_away = 0;
};

/** Who serves the requests that a front reads. */
class request_handler
{
public:
    virtual ~request_handler() = default;
    /**
     * A whole request was read; it is to be answered by its token. The network
     * time is what the request has spent and its answer will spend on the way.
     */
    virtual void request_read(caller_token token, http_request request,
                              duration network_time) = 0;
    /** The caller of a request that is not answered yet has closed. */
    virtual void caller_closed(caller_token token) = 0;
    /** Bytes were refused that are no proper request. */
    virtual void bytes_refused(unsigned status) = 0;
    /** Returns the refusal of a request for which there is no memory. */
    virtual http_answer_text refuse_for_memory()
    {
        constexpr unsigned unavailable = 503;
        return {unavailable, "", ""};
    }
    /** A caller that read too slowly was dropped to free memory. */
    virtual void slow_reader_dropped(std::size_t held_bytes,
                                     duration stalled) = 0;
};

/**
 * Accepts callers' connections and reads their requests, one at a time on
 * each connection, without a thread or a buffer for idle ones.
 */
class caller_front
{
public:
    /** A front that sheds refuses and closes when the VM is short of memory. */
    caller_front(loop_context& loop, request_handler& handler,
                 stream_accounts accounts = {}, bool sheds = false);
    ~caller_front();
    caller_front(const caller_front&) = delete;
    caller_front& operator=(const caller_front&) = delete;

    /** Starts to accept; returns why it cannot, or nothing. */
    std::optional<std::string> listen(const endpoint& address);

    /** Takes new limits, for messages that begin from now on. */
    void limit(const front_limits& limits);

    /** Answers a request; does nothing when its caller has left. */
    void answer(caller_token token, const http_answer_text& text);

    /** From now on each answer ends its connection. */
    void close_after_answers();
    /** Closes connections that have no request. */
    void close_idle();
    /** Accepts the connections that wait, and no further ones. */
    void stop_accepting();

    /** Ends connections that are idle or slow for too long. */
    void sweep(time_point now);

    /** Reads on where the memory pressure had stopped it. */
    void pressure_fell();
    /**
     * Closes connections until as many bytes are freed: the caller that has
     * taken nothing for the longest first, then bodies that arrive slowest; in
     * either group only those that are late by a time.
     */
    void relieve(std::size_t excess, duration late);
    const closed_connections& closed() const
    {
        return m_closed;
    }
    /** Returns whether idle connections had to end for others lately. */
    bool is_full() const
    {
        return m_full;
    }

    std::size_t connections() const
    {
        return m_connections.size();
    }

private:
    friend class caller_connection;

    void accept();
    void accept_later();
    void take(boost::asio::ip::tcp::socket socket);
    caller_token token_for(const std::shared_ptr<caller_connection>& c);
    void forget(caller_token token);
    void remove(caller_connection* connection);
    void drop_slow_readers();
    void make_room();
    void close_late(duration late, const std::function<bool()>& enough);
    std::vector<std::shared_ptr<caller_connection>>
    stalled_readers(duration late) const;
    std::vector<std::shared_ptr<caller_connection>>
    slow_bodies(duration late) const;

    loop_context& m_loop;
    request_handler& m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    front_limits m_limits;
    stream_accounts m_accounts;
    bool m_sheds;
    bool m_closing = false;
    bool m_full = false;
    closed_connections m_closed;
    /** Connections without a request, the longest idle first. */
    std::list<caller_connection*> m_idle;
    std::uint64_t m_last_token = 0;
    std::unordered_map<caller_connection*, std::shared_ptr<caller_connection>>
        m_connections;
    std::unordered_map<caller_token, std::weak_ptr<caller_connection>>
        m_waiting;
};

} // namespace cranberrywood

#endif
