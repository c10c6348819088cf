#include "process/standin_server.hpp"

#include "process/plain_socket.hpp"

#include <sys/socket.h>
#include <unistd.h>

namespace cranberrywood::tests {

namespace {

constexpr std::chrono::milliseconds poll_interval{50};

} // namespace

standin_server::standin_server(std::string name, const std::string& host,
                               exchange_record& record, behaviour react)
    : m_name(std::move(name)), m_record(record), m_react(std::move(react)),
      m_listener(listen_at(host, m_port))
{
    m_acceptor = std::thread([this] { accept_all(); });
}

standin_server::~standin_server()
{
    m_stopping = true;
    m_acceptor.join();
    for (std::thread& connection : m_connections) {
        connection.join();
    }
    ::close(m_listener);
}

void standin_server::accept_all()
{
    while (!m_stopping) {
        if (wait_readable(m_listener, poll_interval)) {
            const int socket = ::accept(m_listener, nullptr, nullptr);
            if (socket >= 0) {
                m_connections.emplace_back([this, socket] { serve(socket); });
            }
        }
    }
}

void standin_server::serve(int socket)
{
    plain_socket connection(socket);
    std::string input;
    while (!m_stopping) {
        const std::size_t end = input.find("\r\n\r\n");
        if (end == std::string::npos) {
            const read_end why = connection.read(input, poll_interval);
            if (why == read_end::closed || why == read_end::reset) {
                return;
            }
            continue;
        }
        const std::string head = input.substr(0, end + 2);
        input.erase(0, end + 4);
        const server_request request{
            header_of(head, "Request-Id"),
            head.substr(head.find(' ') + 1, head.find(' ', head.find(' ') + 1) -
                                                head.find(' ') - 1)};
        const std::string meant = header_of(head, "Target-Instance");
        if (meant != m_name) {
            connection.write(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " +
                request.id +
                "\r\nNot-Executed: 1\r\nContent-Length: "
                "0\r\n\r\n");
            continue;
        }
        m_record.arrived(request.id, m_name);
        const server_reaction reaction = m_react(m_name, request);
        const auto until = std::chrono::steady_clock::now() + reaction.work;
        while (!m_stopping && std::chrono::steady_clock::now() < until) {
            const auto left =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    until - std::chrono::steady_clock::now());
            const read_end why = connection.read(
                input,
                std::min(poll_interval, left + std::chrono::milliseconds(1)));
            if (why == read_end::closed || why == read_end::reset) {
                m_record.given_up(request.id);
                return;
            }
        }
        if (reaction.bytes.empty() || !connection.write(reaction.bytes) ||
            reaction.close_after) {
            return;
        }
        m_record.answered(request.id);
    }
}

std::string receipt_of(const std::string& server, const std::string& id)
{
    return server + "." + id;
}

std::string proper_answer(const std::string& server,
                          const server_request& request)
{
    const std::string body = "body of " + request.id + " by " + server;
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.id +
           "\r\nResponse-Stamp: " + receipt_of(server, request.id) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

} // namespace cranberrywood::tests
