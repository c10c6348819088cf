#ifndef CRANBERRYWOOD_LOOP_CONTROL_FRONT_HPP
#define CRANBERRYWOOD_LOOP_CONTROL_FRONT_HPP

#include "loop/caller_front.hpp"
#include "systems/store/store_mirror.hpp"

#include <functional>
#include <map>

namespace cranberrywood {

/** Path of the calls of VMs that follow this one's copy of the store. */
constexpr const char* follow_path = "/v1/store";

/** Returns the target of a call that follows a reader from a place on. */
std::string follow_target(incarnation process, std::uint64_t place,
                          duration wait);

/**
 * Answers operators' GET requests by their paths, and VMs that follow this
 * one's copy of the store as soon as there is something new.
 */
class control_front : public request_handler
{
public:
    using page = std::function<http_answer_text()>;
    using update_source =
        std::function<mirror_update(incarnation process, std::uint64_t place)>;

    /** Told of a call with a body; answers by `answer`, later or at once. */
    using call_handler =
        std::function<void(caller_token token, const std::string& body)>;
    /** Told that the caller of an unanswered call has closed. */
    using closed_handler = std::function<void(caller_token token)>;

    control_front(loop_context& loop, update_source updates);

    /** Sets what a path answers. */
    void serve(const std::string& path, page answer);
    /** Sets who handles the calls to a path. */
    void serve_calls(const std::string& path, call_handler called,
                     closed_handler closed);
    /** Answers a call. */
    void answer(caller_token token, std::string body);
    /** Sets the largest body of a call, in bytes. */
    void limit_body(std::uint64_t bytes);
    /** Sets how many connections may be open. */
    void limit_connections(std::size_t most);
    std::size_t connections() const
    {
        return m_front.connections();
    }
    std::optional<std::string> listen(const endpoint& address);

    /** Answers those that wait for news, up to a place. */
    void news(std::uint64_t place);
    void sweep(time_point now);

    void request_read(caller_token token, http_request request,
                      duration network_time) override;
    void caller_closed(caller_token token) override;
    void bytes_refused(unsigned status) override;
    void slow_reader_dropped(std::size_t held_bytes, duration stalled) override;

private:
    struct waiter
    {
        incarnation process;
        std::uint64_t place = 0;
        time_point until;
    };

    void follow(caller_token token, const std::string& target);
    struct call_path
    {
        call_handler called;
        closed_handler closed;
    };

    void answer_waiter(caller_token token, const waiter& w);

    loop_context& m_loop;
    update_source m_updates;
    caller_front m_front;
    std::map<std::string, page> m_pages;
    std::map<std::string, call_path> m_call_paths;
    /** Unanswered calls, and who is told when their callers close. */
    std::map<caller_token, closed_handler> m_calls;
    std::map<caller_token, waiter> m_waiters;
    front_limits m_limits;
};

} // namespace cranberrywood

#endif
