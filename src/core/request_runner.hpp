#ifndef CRANBERRYWOOD_CORE_REQUEST_RUNNER_HPP
#define CRANBERRYWOOD_CORE_REQUEST_RUNNER_HPP

#include "core/call_sender.hpp"
#include "core/relay_service.hpp"
#include "systems/queries/crash_quarantine.hpp"
#include "systems/queries/stragglers.hpp"
#include "systems/queries/waiting_calls.hpp"
#include "systems/servers/server_suspicions.hpp"
#include "tables/due_queue.hpp"
#include "tables/open_request.hpp"

#include <memory>
#include <optional>

namespace cranberrywood {

/**
 * Runs admitted requests until their callers have an answer: sends their calls,
 * retries and hedges them, and keeps those that wait for a server.
 */
class request_runner
{
public:
    request_runner(call_sender& sender, const relay_service& relays,
                   const crash_quarantine& quarantine, waiting_calls& waiting);

    /** Starts a request whose caller has no other open request. */
    void start(std::unique_ptr<open_request> row, time_point now,
               gateway_commands& out);
    /** Cancels the request of a caller that has left. */
    void caller_left(caller_token token, time_point now, gateway_commands& out);
    /** Answers every open request by a time at the latest. */
    void answer_all_by(time_point latest, time_point now,
                       gateway_commands& out);
    /** Applies the end of an exchange to its request, if one still needs it. */
    void exchange_ended(const exchange_row& row, const exchange_ended& ended,
                        time_point now, gateway_commands& out);

    /** Sends waiting calls of a service as far as servers take them. */
    void serve_waiting(service_id service, time_point now,
                       gateway_commands& out);
    void serve_all_waiting(time_point now, gateway_commands& out);

    /** Hedges, answers and times out the requests that are due. */
    void review_due(time_point now, gateway_commands& out);
    /** Sends waiting calls to servers that take requests again. */
    void serve_reopened(time_point now, gateway_commands& out);
    /** Returns when one of these two has to be called next, if at all. */
    std::optional<time_point> next_wakeup() const;

    /** Returns the number of requests that are not answered yet. */
    std::size_t size() const
    {
        return m_requests.size();
    }

private:
    void start_call(open_request& request, std::uint32_t call,
                    send_purpose purpose, time_point now,
                    gateway_commands& out);
    /** Queues a call until a server takes it, if that may still be useful. */
    void wait_for_server(open_request& request, std::uint32_t call);
    void apply_result(open_request& request, std::uint32_t call,
                      const cranberrywood::exchange_ended& ended,
                      time_point now, gateway_commands& out);
    void retry_call(open_request& request, std::uint32_t call, time_point now,
                    gateway_commands& out);
    /** Starts or ends the held calls of a request, if that is decided. */
    void review_held_calls(open_request& request, time_point now,
                           gateway_commands& out);

    /** Hedges, answers or times out a request; schedules its next review. */
    void review(caller_token token, time_point now, gateway_commands& out);
    void review_stragglers(open_request& request, time_point now,
                           gateway_commands& out);
    void schedule_review(const open_request& request, time_point now);
    bool finish_if_decided(open_request& request, time_point now,
                           gateway_commands& out);
    void finish(open_request& request, gateway_answer answer, time_point now,
                gateway_commands& out);
    open_request* find(caller_token token);

    call_sender& m_sender;
    const relay_service& m_relays;
    const crash_quarantine& m_quarantine;
    waiting_calls& m_waiting;
    open_requests m_requests;
    due_queue<caller_token> m_due;
    /** When servers that wanted no requests take them again. */
    due_queue<service_id> m_reopenings;
};

} // namespace cranberrywood

#endif
