#include "io/caller_stream.hpp"

#include <poll.h>

namespace cranberrywood {

namespace {

using milliseconds = std::chrono::milliseconds;

bool wait_for(int socket, short events, milliseconds limit)
{
    pollfd entry{socket, events, 0};
    const int wait_ms =
        static_cast<int>(std::max<milliseconds::rep>(limit.count(), 0));
    return ::poll(&entry, 1, wait_ms) > 0 && (entry.revents & events) != 0;
}

void read_address(const sockaddr_storage& address, std::string& ip, int& port)
{
    char text[INET_ADDRSTRLEN] = {};
    const auto& v4 = reinterpret_cast<const sockaddr_in&>(address);
    inet_ntop(AF_INET, &v4.sin_addr, text, sizeof(text));
    ip = text;
    port = ntohs(v4.sin_port);
}

} // namespace

caller_stream::caller_stream(int socket, const caller_limits& limits)
    : m_socket(socket), m_limits(limits)
{
    begin_request();
}

void caller_stream::begin_request()
{
    m_request_ends = std::chrono::steady_clock::now() + m_limits.request;
}

bool caller_stream::wait_readable(milliseconds limit) const
{
    return wait_for(m_socket, POLLIN, limit);
}

bool caller_stream::caller_gone(int socket)
{
    pollfd entry{socket, POLLRDHUP, 0};
    const short gone = POLLRDHUP | POLLHUP | POLLERR;
    return ::poll(&entry, 1, 0) > 0 && (entry.revents & gone) != 0;
}

bool caller_stream::is_readable() const
{
    return wait_readable(milliseconds(0));
}

bool caller_stream::is_writable() const
{
    return wait_for(m_socket, POLLOUT, m_limits.write);
}

ssize_t caller_stream::read(char* data, size_t size)
{
    const auto left = std::chrono::duration_cast<milliseconds>(
        m_request_ends - std::chrono::steady_clock::now());
    if (left <= milliseconds(0) || !wait_readable(left)) {
        return -1;
    }
    return ::recv(m_socket, data, size, 0);
}

ssize_t caller_stream::write(const char* data, size_t size)
{
    if (!is_writable()) {
        return -1;
    }
    return ::send(m_socket, data, size, MSG_NOSIGNAL);
}

void caller_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    getpeername(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
    read_address(address, ip, port);
}

void caller_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
    read_address(address, ip, port);
}

socket_t caller_stream::socket() const
{
    return m_socket;
}

} // namespace cranberrywood
