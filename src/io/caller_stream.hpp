#ifndef CRANBERRYWOOD_IO_CALLER_STREAM_HPP
#define CRANBERRYWOOD_IO_CALLER_STREAM_HPP

#include <chrono>
#include <httplib.h>

namespace cranberrywood {

/** Time limits of a caller's connection. */
struct caller_limits
{
    /** Time for a whole request to arrive, from its first byte. */
    std::chrono::milliseconds request = std::chrono::seconds(5);
    /** Time that a caller may take nothing of its answer. */
    std::chrono::milliseconds write = std::chrono::seconds(5);
    /** Time that a connection may stay open without a request. */
    std::chrono::milliseconds idle = std::chrono::seconds(30);
};

/**
 * A caller's connection as cpp-httplib reads and writes it. Unlike the
 * library's own stream it bounds the time of a whole request, so that a
 * caller who sends a byte now and then cannot hold a thread.
 */
class caller_stream : public httplib::Stream
{
public:
    caller_stream(int socket, const caller_limits& limits);

    /** Starts the time limit of the next request. */
    void begin_request();

    /** Waits for input, at most this long; returns whether there is any. */
    bool wait_readable(std::chrono::milliseconds limit) const;

    /** Returns whether the caller has closed its side of a connection. */
    static bool caller_gone(int socket);

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* data, size_t size) override;
    ssize_t write(const char* data, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override;

private:
    int m_socket;
    caller_limits m_limits;
    std::chrono::steady_clock::time_point m_request_ends;
};

} // namespace cranberrywood

#endif
