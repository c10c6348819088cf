#ifndef CRANBERRYWOOD_IO_CONNECTOR_HPP
#define CRANBERRYWOOD_IO_CONNECTOR_HPP

#include "units/endpoint.hpp"

#include <chrono>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace cranberrywood {

/**
 * Sets up TCP connections on a thread of its own, so that an address that
 * does not answer holds up neither the node nor the links that are up. Any
 * number of attempts run at a time, each with a time limit.
 */
class connector
{
public:
    /** Gets the connected socket, or no_socket. Runs on the thread. */
    using handler = std::function<void(int socket)>;
    static constexpr int no_socket = -1;

    connector();
    ~connector();
    connector(const connector&) = delete;
    connector& operator=(const connector&) = delete;

    /** Starts an attempt; the handler is called once, on the thread. */
    void connect(const endpoint& to, handler done);

private:
    using steady_time = std::chrono::steady_clock::time_point;
    struct attempt
    {
        int socket = no_socket;
        steady_time give_up;
        handler done;
    };

    void run();
    void wait_for_sockets();
    void finish_attempts();
    bool take_new();
    void wake();
    static int start(const endpoint& to);

    std::mutex m_mutex;
    std::vector<std::pair<endpoint, handler>> m_new;
    bool m_stopping = false;
    int m_wake_pipe[2] = {no_socket, no_socket};
    std::vector<attempt> m_attempts;
    std::thread m_thread;
};

} // namespace cranberrywood

#endif
