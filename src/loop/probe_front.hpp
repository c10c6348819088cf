#ifndef CRANBERRYWOOD_LOOP_PROBE_FRONT_HPP
#define CRANBERRYWOOD_LOOP_PROBE_FRONT_HPP

#include "loop/caller_front.hpp"

#include <functional>
#include <map>

namespace cranberrywood {

/** Answers GET requests of the balancer and of operators by their paths. */
class probe_front : public request_handler
{
public:
    using page = std::function<http_answer_text()>;

    explicit probe_front(loop_context& loop);

    /** Sets what a path answers. */
    void serve(const std::string& path, page answer);
    std::optional<std::string> listen(const endpoint& address);
    void sweep(time_point now);

    void request_read(caller_token token, http_request request) override;
    void caller_closed(caller_token token) override;
    void bytes_refused(unsigned status) override;

private:
    caller_front m_front;
    std::map<std::string, page> m_pages;
};

} // namespace cranberrywood

#endif
