#ifndef CRANBERRYWOOD_IO_HTTP_FRONT_HPP
#define CRANBERRYWOOD_IO_HTTP_FRONT_HPP

#include "core/events.hpp"
#include "io/caller_server.hpp"
#include "io/caller_table.hpp"
#include "io/metrics.hpp"
#include "io/process_settings.hpp"
#include "io/request_json.hpp"
#include "io/response_json.hpp"
#include "io/shared_state.hpp"

#include <functional>
#include <thread>

namespace cranberrywood {

/**
 * HTTP front for callers and operators. Each request is one event to the node
 * and waits, on a thread of the front, for the node's answer. The node never
 * waits for the front.
 */
class http_front
{
public:
    /** Hands an event to the node; must not block. */
    using event_sink = std::function<void(event)>;

    http_front(const process_settings& settings, const shared_state& state,
               const clock& time, metrics& counts, event_sink to_node);
    ~http_front();
    http_front(const http_front&) = delete;
    http_front& operator=(const http_front&) = delete;

    /** Starts to listen; returns false when the port is not free. */
    bool start();

    /** Answers a waiting caller; called by the node actor. */
    void answer(caller_token token, response r);

    /** Tells callers to leave their connections after the next answer. */
    void begin_leave();

    /** Stops to listen, finishes the answers under way and returns. */
    void stop();

private:
    using request = httplib::Request;
    using reply = httplib::Response;

    void add_routes();
    void serve(const request& from, reply& to, request_kind kind);
    http_answer ask_node(caller_request asked);
    http_answer await(caller_token token, duration deadline);
    void health(reply& to) const;
    void readiness(reply& to) const;
    void report_status(reply& to) const;
    void report_metrics(reply& to) const;
    static void complete_error(const request& from, reply& to);

    const endpoint m_listen;
    const shared_state& m_state;
    const clock& m_clock;
    metrics& m_metrics;
    event_sink m_to_node;
    caller_table m_callers;
    caller_server m_server;
    std::thread m_thread;
};

} // namespace cranberrywood

#endif
