#include "process/plain_socket.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace cranberrywood::tests {

namespace {

constexpr int backlog = 256;

sockaddr_in address_of(const std::string& host, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (::inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
        throw std::invalid_argument(host + ": is no IP number");
    }
    return address;
}

} // namespace

plain_socket::~plain_socket()
{
    if (m_socket >= 0) {
        ::close(m_socket);
    }
}

read_end plain_socket::read(std::string& to, std::chrono::milliseconds wait)
{
    if (!wait_readable(m_socket, wait)) {
        return read_end::nothing_yet;
    }
    char buffer[16384];
    const ssize_t size = ::recv(m_socket, buffer, sizeof buffer, 0);
    if (size > 0) {
        to.append(buffer, static_cast<std::size_t>(size));
        return read_end::bytes;
    }
    return size == 0 ? read_end::closed : read_end::reset;
}

bool plain_socket::write(const std::string& bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t size = ::send(m_socket, bytes.data() + written,
                                    bytes.size() - written, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(size);
    }
    return true;
}

void plain_socket::write_some(const std::string& bytes)
{
    constexpr int longest_wait_ms = 20;
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t size =
            ::send(m_socket, bytes.data() + written, bytes.size() - written,
                   MSG_NOSIGNAL | MSG_DONTWAIT);
        pollfd waited{m_socket, POLLOUT, 0};
        if (size > 0) {
            written += static_cast<std::size_t>(size);
        } else if (errno != EAGAIN ||
                   ::poll(&waited, 1, longest_wait_ms) <= 0) {
            return;
        }
    }
}

void plain_socket::read_byte()
{
    char byte = 0;
    ::recv(m_socket, &byte, 1, MSG_DONTWAIT);
}

int connect_to(const std::string& host, std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in address = address_of(host, port);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

int listen_at(const std::string& host, std::uint16_t& port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = address_of(host, 0);
    socklen_t size = sizeof address;
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), size) !=
            0 ||
        ::listen(socket, backlog) != 0 ||
        ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) !=
            0) {
        throw std::runtime_error(host + ": cannot listen");
    }
    port = ntohs(address.sin_port);
    return socket;
}

bool wait_readable(int socket, std::chrono::milliseconds wait)
{
    pollfd waited{socket, POLLIN, 0};
    return ::poll(&waited, 1, static_cast<int>(wait.count())) > 0;
}

std::string header_of(const std::string& head, const std::string& name)
{
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t first = at + name.size() + 4;
    return head.substr(first, head.find("\r\n", first) - first);
}

} // namespace cranberrywood::tests
