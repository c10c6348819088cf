#ifndef CRANBERRYWOOD_LOOP_STREAM_SOCKET_HPP
#define CRANBERRYWOOD_LOOP_STREAM_SOCKET_HPP

#include "loop/loop_context.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cranberrywood {

using tcp_socket = boost::asio::ip::tcp::socket;

/** Accounts of the bytes that a stream keeps and leaves in the kernel. */
struct stream_accounts
{
    memory_account read = memory_account::peers;
    memory_account written = memory_account::peers;
};

/** What happens on a stream. */
class stream_events
{
public:
    virtual ~stream_events() = default;
    /** Bytes came; they are valid during the call. */
    virtual void bytes_came(std::string_view bytes) = 0;
    /** The peer ended its direction in order. */
    virtual void end_came() = 0;
    /** The stream failed; nothing more comes or goes. */
    virtual void stream_failed() = 0;
};

/**
 * A TCP connection on the event loop. Reads into the loop's scratch memory,
 * so that an idle connection holds no buffer; writes at once what the kernel
 * takes and keeps the rest. The owner keeps it alive by a shared pointer.
 */
class stream_socket : public std::enable_shared_from_this<stream_socket>
{
public:
    stream_socket(loop_context& loop, tcp_socket socket,
                  stream_accounts accounts = {});

    /** Sets who is told; null: nobody, then nothing more is reported. */
    void listen(stream_events* events)
    {
        m_events = events;
    }

    /** Prepares a connected socket and begins to read. */
    void start();
    void write(std::string bytes);
    /** Stops to read until resume; the peer is slowed down. */
    void pause_reading();
    void resume_reading();
    /** Sets the pressure from which on nothing is read; none: always reads. */
    void yield_at(std::optional<memory_pressure> pressure)
    {
        m_yield_at = pressure;
        pressure_fell();
    }
    /** Reads on if the pressure allows it again. */
    void pressure_fell();
    /** Sets how many bytes the kernel keeps for each way when it is full. */
    void count_kernel_buffer(std::size_t bytes)
    {
        m_kernel_bytes = bytes;
    }
    /** Ends the direction towards the peer after what was written. */
    void finish_writing();
    /** Closes at once and reports nothing more. */
    void close();

    /** Returns the kernel's estimate of the round trip; 0 if unknown. */
    duration round_trip();

    bool is_open() const
    {
        return m_socket.is_open();
    }
    /** Returns whether everything that was written has gone out. */
    bool all_written() const
    {
        return m_output.empty();
    }
    /** Returns how many bytes wait until the peer takes more. */
    std::size_t unwritten_bytes() const
    {
        return m_output.size() - m_written;
    }
    /** Returns for how long the peer has taken nothing of what waits. */
    duration stalled(time_point now) const
    {
        return all_written() ? duration(0) : now - m_progress_at;
    }
    /** Sets how long the peer may leave sent bytes unacknowledged. */
    void set_silence_limit(std::chrono::milliseconds limit);
    tcp_socket& socket()
    {
        return m_socket;
    }

private:
    void wait_readable();
    void read_ready();
    void write_some();
    bool yields() const
    {
        return m_yield_at && m_loop.memory.pressure() >= *m_yield_at;
    }
    void count_unwritten();
    void drop_output();
    void wait_writable();
    void fail();

    loop_context& m_loop;
    tcp_socket m_socket;
    stream_events* m_events = nullptr;
    std::string m_output;
    /** Bytes of the output that the kernel has taken. */
    std::size_t m_written = 0;
    std::size_t m_kernel_bytes = 0;
    memory_hold m_unwritten;
    /** Bytes that the kernel may hold while nothing is read. */
    memory_hold m_unread;
    std::optional<memory_pressure> m_yield_at;
    bool m_yielding = false;
    /** When bytes were last taken, or began to wait. */
    time_point m_progress_at;
    bool m_reading = false;
    bool m_paused = false;
    bool m_writing = false;
    bool m_finish_after_write = false;
    bool m_ended = false;
};

/** Sets the options of a connected socket: no delay, bounded silence. */
void set_stream_options(tcp_socket& socket);

/**
 * Bounds the kernel's buffers of a socket, in bytes, before it connects or
 * listens; accepted sockets inherit the bounds.
 */
void bound_buffers(int socket, std::size_t received, std::size_t unsent);

} // namespace cranberrywood

#endif
