#ifndef CRANBERRYWOOD_TESTS_LOOP_RAW_PEER_HPP
#define CRANBERRYWOOD_TESTS_LOOP_RAW_PEER_HPP

#include "loop/loop_context.hpp"

#include <arpa/inet.h>
#include <chrono>
#include <functional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

/** Plain sockets that play the other end of a connection in tests. */
namespace cranberrywood::tests {

/** Clock that tests step by hand. */
class stepped_clock : public clock
{
public:
    time_point now() const override
    {
        return m_now;
    }
    void step(duration d)
    {
        m_now += d;
    }

private:
    time_point m_now{std::chrono::hours(1)};
};

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/** Runs the loop until a condition holds, or for long in vain. */
inline bool run_until(boost::asio::io_context& io,
                      const std::function<bool()>& done)
{
    constexpr int rounds = 5000;
    for (int i = 0; i < rounds; ++i) {
        if (done()) {
            return true;
        }
        io.restart();
        io.poll();
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return false;
}

/** One end of a connection, without any buffering of its own. */
class raw_peer
{
public:
    explicit raw_peer(int socket) : m_socket(socket) {}
    ~raw_peer()
    {
        close();
    }
    raw_peer(const raw_peer&) = delete;
    raw_peer& operator=(const raw_peer&) = delete;

    /** Connects; a receive buffer of 0 bytes leaves the system's default. */
    static int connect_to(std::uint16_t port, int receive_buffer = 0)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        if (receive_buffer > 0) {
            ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                         sizeof receive_buffer);
        }
        const sockaddr_in address = loopback(port);
        if (::connect(socket, reinterpret_cast<const sockaddr*>(&address),
                      sizeof address) != 0) {
            ::close(socket);
            return -1;
        }
        return socket;
    }

    void send(const std::string& bytes)
    {
        ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    /** Takes in what has come; notices the end. */
    void receive()
    {
        char buffer[65536];
        while (!m_ended) {
            const ssize_t size =
                ::recv(m_socket, buffer, sizeof buffer, MSG_DONTWAIT);
            if (size > 0) {
                m_received.append(buffer, static_cast<std::size_t>(size));
            } else if (size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
                m_ended = true;
            } else {
                return;
            }
        }
    }
    const std::string& received()
    {
        receive();
        return m_received;
    }
    bool ended()
    {
        receive();
        return m_ended;
    }
    /** Closes so that the other end sees a reset. */
    void reset()
    {
        const linger hard{1, 0};
        ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close();
    }
    void close()
    {
        if (m_socket >= 0) {
            ::close(m_socket);
            m_socket = -1;
        }
    }

private:
    int m_socket;
    std::string m_received;
    bool m_ended = false;
};

/** A listening socket on a free port. */
class raw_listener
{
public:
    raw_listener() : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address = loopback(0);
        ::bind(m_socket, reinterpret_cast<const sockaddr*>(&address),
               sizeof address);
        ::listen(m_socket, 16);
        socklen_t size = sizeof address;
        ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
    }
    ~raw_listener()
    {
        close();
    }
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }
    /** Accepts a connection that waits; -1 when none does. */
    int accept()
    {
        fd_set set;
        FD_ZERO(&set);
        FD_SET(m_socket, &set);
        timeval none{0, 0};
        if (::select(m_socket + 1, &set, nullptr, nullptr, &none) <= 0) {
            return -1;
        }
        return ::accept(m_socket, nullptr, nullptr);
    }
    void close()
    {
        if (m_socket >= 0) {
            ::close(m_socket);
            m_socket = -1;
        }
    }

private:
    int m_socket;
    std::uint16_t m_port = 0;
};

} // namespace cranberrywood::tests

#endif
