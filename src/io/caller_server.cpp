#include "io/caller_server.hpp"

#include <unistd.h>

namespace cranberrywood {

namespace {

/** Requests that one connection may carry. */
constexpr std::size_t max_requests_per_connection = 10'000;
/** Interval at which an idle connection looks whether it must give way. */
constexpr auto idle_interval = std::chrono::milliseconds(25);
/** Time that a refused connection is given to send its request. */
constexpr auto refusal_wait = std::chrono::milliseconds(20);
constexpr std::size_t refusal_read_bytes = 65536;

thread_local int thread_socket = INVALID_SOCKET;

std::string refusal_text(const std::string& json)
{
    return "HTTP/1.1 503 Service Unavailable\r\n"
           "Content-Type: application/json\r\n"
           "Connection: close\r\n"
           "Content-Length: " +
           std::to_string(json.size()) + "\r\n\r\n" + json;
}

} // namespace

caller_server::caller_server(std::size_t threads, std::size_t queue_limit,
                             refusal_json json, refusal_handler refused)
    : m_refusal_json(std::move(json)), m_refused(std::move(refused))
{
    // The library owns and deletes the queue.
    new_task_queue = [this, threads, queue_limit] {
        auto* queue = new bounded_task_queue(threads, queue_limit);
        m_queue = queue;
        return queue;
    };
    set_tcp_nodelay(true);
}

void caller_server::close_after_answers()
{
    m_closing = true;
}

int caller_server::served_socket()
{
    return thread_socket;
}

bool caller_server::process_and_close_socket(socket_t socket)
{
    if (bounded_task_queue::refusing()) {
        m_refused();
        refuse(socket);
    } else {
        thread_socket = socket;
        caller_stream stream(socket, m_limits);
        serve(stream);
        thread_socket = INVALID_SOCKET;
    }
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return true;
}

void caller_server::serve(caller_stream& stream)
{
    for (std::size_t i = 1; i <= max_requests_per_connection; ++i) {
        if (!wait_for_request(stream)) {
            return;
        }
        stream.begin_request();
        const bool last = m_closing || i == max_requests_per_connection;
        bool closed = false;
        const bool served = process_request(stream, last, closed, nullptr);
        if (!served || closed) {
            return;
        }
    }
}

// An idle connection occupies a thread, so that it gives way to connections
// that wait for one.
bool caller_server::wait_for_request(const caller_stream& stream) const
{
    const auto ends = std::chrono::steady_clock::now() + m_limits.idle;
    while (std::chrono::steady_clock::now() < ends) {
        if (stream.wait_readable(idle_interval)) {
            return true;
        }
        if (svr_sock_ == INVALID_SOCKET || m_queue.load()->has_waiting()) {
            return false;
        }
    }
    return false;
}

// Closing a connection with unread input resets it, and the caller may lose
// the answer; so the request is read first if it is there.
void caller_server::refuse(int socket) const
{
    const caller_stream stream(socket, m_limits);
    std::string discarded;
    if (stream.wait_readable(refusal_wait)) {
        discarded.resize(refusal_read_bytes);
        const ssize_t read =
            ::recv(socket, discarded.data(), discarded.size(), MSG_DONTWAIT);
        discarded.resize(read > 0 ? static_cast<std::size_t>(read) : 0);
    }
    const std::string text = refusal_text(m_refusal_json(discarded));
    ::send(socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

} // namespace cranberrywood
