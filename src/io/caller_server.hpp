#ifndef CRANBERRYWOOD_IO_CALLER_SERVER_HPP
#define CRANBERRYWOOD_IO_CALLER_SERVER_HPP

#include "io/bounded_task_queue.hpp"
#include "io/caller_stream.hpp"

#include <atomic>
#include <functional>
#include <httplib.h>
#include <string_view>

namespace cranberrywood {

/**
 * cpp-httplib's server with bounded threads, bounded time for each request,
 * and connections that are refused with an answer when there is no room.
 */
class caller_server : public httplib::Server
{
public:
    /** Called for each connection that is refused for want of room. */
    using refusal_handler = std::function<void()>;

    /** Returns the refusal for a request, given the start of its bytes. */
    using refusal_json = std::function<std::string(std::string_view)>;

    caller_server(std::size_t threads, std::size_t queue_limit,
                  refusal_json json, refusal_handler refused);

    /** Answers from now on end their connections. */
    void close_after_answers();

    /**
     * Returns the socket of the connection that the calling thread serves,
     * so that a handler can notice that its caller has gone.
     */
    static int served_socket();

private:
    bool process_and_close_socket(socket_t socket) override;
    void serve(caller_stream& stream);
    bool wait_for_request(const caller_stream& stream) const;
    void refuse(int socket) const;

    const refusal_json m_refusal_json;
    const refusal_handler m_refused;
    const caller_limits m_limits;
    std::atomic<bool> m_closing{false};
    std::atomic<bounded_task_queue*> m_queue{nullptr};
};

} // namespace cranberrywood

#endif
