#include "io/connector.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace cranberrywood {

namespace {

constexpr auto connect_timeout = std::chrono::seconds(1);
constexpr int poll_interval_ms = 50;
constexpr std::size_t max_attempts = 4096;

/** Returns whether a non-blocking connect has come to an end. */
bool has_ended(int socket)
{
    pollfd entry{socket, POLLOUT, 0};
    return ::poll(&entry, 1, 0) > 0;
}

bool is_connected(int socket)
{
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
    return error == 0;
}

} // namespace

connector::connector()
{
    if (pipe2(m_wake_pipe, O_NONBLOCK | O_CLOEXEC) != 0) {
        throw std::runtime_error("no pipe for the connector");
    }
    m_thread = std::thread([this] { run(); });
}

connector::~connector()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    wake();
    m_thread.join();
    for (const attempt& a : m_attempts) {
        ::close(a.socket);
    }
    ::close(m_wake_pipe[0]);
    ::close(m_wake_pipe[1]);
}

void connector::connect(const endpoint& to, handler done)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_new.emplace_back(to, std::move(done));
    }
    wake();
}

// A full pipe already wakes the thread, so that the result does not matter.
void connector::wake()
{
    const char byte = 0;
    const ssize_t written = ::write(m_wake_pipe[1], &byte, 1);
    static_cast<void>(written);
}

void connector::run()
{
    while (take_new()) {
        wait_for_sockets();
        finish_attempts();
    }
}

bool connector::take_new()
{
    std::vector<std::pair<endpoint, handler>> added;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_stopping) {
            return false;
        }
        added.swap(m_new);
    }
    const auto give_up = std::chrono::steady_clock::now() + connect_timeout;
    for (auto& [to, done] : added) {
        const bool room = m_attempts.size() < max_attempts;
        const int socket = room ? start(to) : no_socket;
        if (socket == no_socket) {
            done(no_socket);
            continue;
        }
        m_attempts.push_back({socket, give_up, std::move(done)});
    }
    return true;
}

void connector::wait_for_sockets()
{
    std::vector<pollfd> entries{{m_wake_pipe[0], POLLIN, 0}};
    for (const attempt& a : m_attempts) {
        entries.push_back({a.socket, POLLOUT, 0});
    }
    // Without attempts there is nothing to time out.
    const int wait_ms = m_attempts.empty() ? -1 : poll_interval_ms;
    ::poll(entries.data(), entries.size(), wait_ms);
    char drained[64];
    while (::read(m_wake_pipe[0], drained, sizeof(drained)) > 0) {
    }
}

void connector::finish_attempts()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<attempt> open;
    for (attempt& a : m_attempts) {
        const bool ended = has_ended(a.socket);
        if (ended && is_connected(a.socket)) {
            a.done(a.socket);
        } else if (ended || now >= a.give_up) {
            ::close(a.socket);
            a.done(no_socket);
        } else {
            open.push_back(std::move(a));
        }
    }
    m_attempts = std::move(open);
}

int connector::start(const endpoint& to)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    if (inet_pton(AF_INET, to.host.c_str(), &address.sin_addr) != 1) {
        return no_socket;
    }
    const int socket =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        return no_socket;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto* target = reinterpret_cast<const sockaddr*>(&address);
    if (::connect(socket, target, sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
        ::close(socket);
        return no_socket;
    }
    return socket;
}

} // namespace cranberrywood
