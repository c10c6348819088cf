#include "loop/stream_socket.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cranberrywood {

namespace {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

/** Output that is released in part once half of it has gone out. */
constexpr std::size_t large_output = 65536;
/** Bytes sent and not acknowledged: 200 Mbit/s over 10 ms. */
constexpr int largest_in_flight = 262144;

/** Time in which written bytes must be acknowledged. */
constexpr std::chrono::milliseconds default_silence_limit{3000};

void set_user_timeout(tcp_socket& socket, std::chrono::milliseconds limit)
{
    const auto ms = static_cast<unsigned>(limit.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms,
                 sizeof ms);
}

} // namespace

void set_stream_options(tcp_socket& socket)
{
    error_code ignored;
    // Failure leaves the connection slower, not wrong.
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    set_user_timeout(socket, default_silence_limit);
}

// A small SO_SNDBUF would bound what is on its way too: with 32 KB each way, 20
// answers of 4 MB and 20 bodies of 256 KB took 37 s longer over loopback.
void bound_buffers(int socket, std::size_t received, std::size_t unsent)
{
    // Failure leaves the system's own bounds.
    const int receive_size = static_cast<int>(received);
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_size,
                 sizeof receive_size);
    ::setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &largest_in_flight,
                 sizeof largest_in_flight);
    const auto low = static_cast<unsigned>(unsent);
    ::setsockopt(socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &low, sizeof low);
}

stream_socket::stream_socket(loop_context& loop, tcp_socket socket,
                             stream_accounts accounts)
    : m_loop(loop), m_socket(std::move(socket)),
      m_unwritten(loop.memory, accounts.written),
      m_unread(loop.memory, accounts.read)
{
}

void stream_socket::start()
{
    error_code error;
    m_socket.non_blocking(true, error);
    if (error) {
        fail();
        return;
    }
    set_stream_options(m_socket);
    wait_readable();
}

void stream_socket::set_silence_limit(std::chrono::milliseconds limit)
{
    set_user_timeout(m_socket, limit);
}

void stream_socket::write(std::string bytes)
{
    if (!m_socket.is_open()) {
        return;
    }
    if (m_output.empty()) {
        m_progress_at = m_loop.time.now();
        m_output = std::move(bytes);
    } else {
        m_output += bytes;
        count_unwritten();
    }
    if (!m_writing) {
        write_some();
    }
}

void stream_socket::pause_reading()
{
    m_paused = true;
}

void stream_socket::resume_reading()
{
    m_paused = false;
    wait_readable();
}

void stream_socket::pressure_fell()
{
    if (m_yielding && !yields()) {
        m_yielding = false;
        m_unread.set(0);
        wait_readable();
    }
}

void stream_socket::finish_writing()
{
    m_finish_after_write = true;
    if (m_output.empty() && m_socket.is_open()) {
        error_code ignored;
        // Fails when the peer has closed, which the reader notices.
        m_socket.shutdown(tcp_socket::shutdown_send, ignored);
    }
}

void stream_socket::close()
{
    m_events = nullptr;
    error_code ignored;
    m_socket.close(ignored);
    // Handlers that are still to run keep the stream, but not its bytes.
    drop_output();
    m_unread.set(0);
}

duration stream_socket::round_trip()
{
    tcp_info info{};
    socklen_t size = sizeof info;
    const int result = ::getsockopt(m_socket.native_handle(), IPPROTO_TCP,
                                    TCP_INFO, &info, &size);
    return result == 0 ? std::chrono::microseconds(info.tcpi_rtt) : duration(0);
}

void stream_socket::wait_readable()
{
    if (m_reading || m_paused || m_yielding || m_ended || !m_socket.is_open()) {
        return;
    }
    m_reading = true;
    m_socket.async_wait(tcp_socket::wait_read,
                        [self = shared_from_this()](const error_code& error) {
                            self->m_reading = false;
                            if (!error && self->m_socket.is_open()) {
                                self->read_ready();
                            }
                        });
}

// A short read has emptied the socket, so no second read is needed to find
// that out.
void stream_socket::read_ready()
{
    const auto self = shared_from_this();
    bool more = true;
    while (more && !m_paused && m_socket.is_open()) {
        if (yields()) {
            m_yielding = true;
            m_unread.set(m_kernel_bytes);
            return;
        }
        error_code error;
        const std::size_t size =
            m_socket.read_some(asio::buffer(m_loop.scratch), error);
        if (error == asio::error::would_block) {
            break;
        }
        if (error == asio::error::eof) {
            m_ended = true;
            if (m_events != nullptr) {
                m_events->end_came();
            }
            return;
        }
        if (error) {
            fail();
            return;
        }
        more = size == m_loop.scratch.size();
        if (m_events != nullptr) {
            m_events->bytes_came({m_loop.scratch.data(), size});
        }
    }
    wait_readable();
}

void stream_socket::write_some()
{
    while (!m_output.empty()) {
        error_code error;
        const std::size_t size = m_socket.write_some(
            asio::buffer(m_output.data() + m_written, unwritten_bytes()),
            error);
        if (error == asio::error::would_block) {
            count_unwritten();
            wait_writable();
            return;
        }
        if (error) {
            // The peer may have answered before it closed: the reader finds
            // the answer first, and then the end.
            drop_output();
            wait_readable();
            return;
        }
        m_written += size;
        m_progress_at = m_loop.time.now();
        if (m_written == m_output.size()) {
            drop_output();
        }
    }
    if (m_finish_after_write) {
        finish_writing();
    }
}

// A caller that takes a byte at a time would else hold the whole answer. Each
// byte is copied once at most, as a half goes at a time.
void stream_socket::count_unwritten()
{
    if (m_written > large_output && m_written > m_output.size() / 2) {
        m_output = std::string(m_output, m_written);
        m_written = 0;
    }
    m_unwritten.set(m_output.capacity() + m_kernel_bytes);
}

// An idle connection keeps no memory of its last answer.
void stream_socket::drop_output()
{
    std::string().swap(m_output);
    m_written = 0;
    m_unwritten.set(0);
}

void stream_socket::wait_writable()
{
    m_writing = true;
    m_socket.async_wait(tcp_socket::wait_write,
                        [self = shared_from_this()](const error_code& error) {
                            self->m_writing = false;
                            if (!error && self->m_socket.is_open()) {
                                self->write_some();
                            }
                        });
}

void stream_socket::fail()
{
    stream_events* events = m_events;
    close();
    if (events != nullptr) {
        events->stream_failed();
    }
}

} // namespace cranberrywood
