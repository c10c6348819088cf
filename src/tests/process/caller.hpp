#ifndef CRANBERRYWOOD_TESTS_PROCESS_CALLER_HPP
#define CRANBERRYWOOD_TESTS_PROCESS_CALLER_HPP

#include "process/exchange_record.hpp"
#include "process/plain_socket.hpp"

#include <atomic>
#include <memory>
#include <random>
#include <thread>

namespace cranberrywood::tests {

/** How a request ended for its caller. */
enum class call_end : std::uint8_t
{
    answered,
    /** The connection ended without a whole answer. */
    closed,
    /** No connection could be set up; nothing was sent. */
    refused,
    /** Nothing came long after the deadline. */
    silent,
};

/** One request as its caller saw it. */
struct call_result
{
    std::string id;
    unsigned vm = 0;
    std::string target;
    steady_time sent;
    steady_time ended;
    call_end end = call_end::silent;
    /** An earlier request was answered on the same connection. */
    bool kept = false;
    std::string head;
    std::string body;

    /** Returns the status of the answer as the bytes on the wire name it. */
    std::string status() const
    {
        return head.size() < 12 ? "" : head.substr(9, 3);
    }
};

struct caller_target
{
    std::string host;
    std::uint16_t port = 0;
};

struct caller_habits
{
    std::vector<std::string> targets;
    std::chrono::milliseconds deadline{2000};
    std::chrono::milliseconds most_pause{20};
    /** Requests on one connection. */
    unsigned per_connection = 1000;
    /** Goes to another VM when one refuses the connection. */
    bool moves = true;
    /** Requests that are sent without waiting for the answers between. */
    unsigned pipelined = 1;
};

/** A caller in a thread of its own: one request after the other. */
class caller
{
public:
    caller(unsigned number, unsigned vm, std::vector<caller_target> vms,
           caller_habits habits, std::uint32_t seed);
    ~caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    /** Stops and returns all results. */
    std::vector<call_result> finish();

private:
    void run();
    void use(plain_socket& connection);
    call_result send(plain_socket& connection, bool kept);
    void await_answer(plain_socket& connection, call_result& result);
    bool read_answer(plain_socket& connection, call_result& result);

    unsigned m_number;
    unsigned m_vm;
    std::vector<caller_target> m_vms;
    caller_habits m_habits;
    std::mt19937 m_random;
    unsigned m_sent = 0;
    /** Bytes of the connection in use behind the last answer. */
    std::string m_input;
    std::atomic<bool> m_stopping{false};
    std::vector<call_result> m_results;
    std::thread m_thread;
};

} // namespace cranberrywood::tests

#endif
