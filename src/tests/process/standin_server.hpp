#ifndef CRANBERRYWOOD_TESTS_PROCESS_STANDIN_SERVER_HPP
#define CRANBERRYWOOD_TESTS_PROCESS_STANDIN_SERVER_HPP

#include "process/exchange_record.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace cranberrywood::tests {

/** A request as a backend server reads it. */
struct server_request
{
    std::string id;
    std::string target;
};

/** What a backend server does with a request. */
struct server_reaction
{
    std::chrono::milliseconds work{0};
    /** Bytes to send; an empty text closes the connection. */
    std::string bytes;
    bool close_after = false;
};

/** Stand-in for a backend server: one thread for each connection. */
class standin_server
{
public:
    using behaviour = std::function<server_reaction(
        const std::string& server, const server_request& request)>;

    standin_server(std::string name, const std::string& host,
                   exchange_record& record, behaviour react);
    ~standin_server();
    standin_server(const standin_server&) = delete;
    standin_server& operator=(const standin_server&) = delete;

    const std::string& name() const
    {
        return m_name;
    }
    std::uint16_t port() const
    {
        return m_port;
    }

private:
    void accept_all();
    void serve(int socket);

    std::string m_name;
    exchange_record& m_record;
    behaviour m_react;
    std::uint16_t m_port = 0;
    int m_listener;
    std::atomic<bool> m_stopping{false};
    std::vector<std::thread> m_connections;
    std::thread m_acceptor;
};

/** Returns a proper answer to a request, whose body names server and request.
 */
std::string proper_answer(const std::string& server,
                          const server_request& request);
/** Returns the receipt that a server gives for a request. */
std::string receipt_of(const std::string& server, const std::string& id);

} // namespace cranberrywood::tests

#endif
