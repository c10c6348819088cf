#ifndef CRANBERRYWOOD_LOOP_HTTP_CLIENT_HPP
#define CRANBERRYWOOD_LOOP_HTTP_CLIENT_HPP

#include "loop/message_reader.hpp"
#include "loop/stream_socket.hpp"
#include "units/endpoint.hpp"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <variant>

namespace cranberrywood {

/** An answer, or why there is none. */
using http_result = std::variant<http_response, std::string>;

/** Time limits of one call. */
struct call_limits
{
    /** Time in which a new connection is set up. */
    duration connect{0};
    /** Time in which the whole call is answered. */
    duration answer{0};
};

/** Makes calls to one address, one at a time, on a kept connection. */
class http_client : public stream_events
{
public:
    using done_handler = std::function<void(http_result)>;

    http_client(loop_context& loop, endpoint address);
    ~http_client() override;
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /** Makes a call; the handler is called once, never from within. */
    void get(const std::string& target, duration timeout, done_handler done);
    void get(const std::string& target, const call_limits& limits,
             done_handler done);
    /** Makes a call with a body, likewise. */
    void post(const std::string& target, const std::string& body,
              const call_limits& limits, done_handler done);

    /** Returns whether a part of the last call's request may be written. */
    bool request_written() const
    {
        return m_request_written;
    }

    void bytes_came(std::string_view bytes) override;
    void end_came() override;
    void stream_failed() override;

private:
    void call(std::string request, const call_limits& limits,
              done_handler done);
    void connect(std::uint64_t call);
    void write_request();
    void look(read_state state);
    void finish(http_result result);
    void drop_stream();

    loop_context& m_loop;
    endpoint m_address;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_connect_timer;
    std::shared_ptr<stream_socket> m_stream;
    response_reader m_reader;
    /** Bytes of the request and of the answer so far. */
    memory_hold m_held;
    std::string m_request;
    bool m_request_written = false;
    done_handler m_done;
    /** Tells the handlers of earlier calls from those of this one. */
    std::uint64_t m_call = 0;
    /** Handlers that outlive the client find that it is gone. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cranberrywood

#endif
