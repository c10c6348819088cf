#ifndef CRANBERRYWOOD_IO_CALLER_TABLE_HPP
#define CRANBERRYWOOD_IO_CALLER_TABLE_HPP

#include "core/results.hpp"

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace cranberrywood {

/**
 * Callers that wait for an answer, by token. The node answers by token and
 * never waits; the thread that serves a caller waits for the answer here.
 */
class caller_table
{
public:
    /** Adds a caller and returns its token. */
    caller_token open();

    /** Hands over an answer; without effect when the caller has left. */
    void answer(caller_token token, response r);

    /** Waits for the answer, at most this long; empty when none came. */
    std::optional<response> wait(caller_token token,
                                 std::chrono::milliseconds limit);

    /** Removes a caller; later answers to it are dropped. */
    void close(caller_token token);

private:
    struct entry
    {
        std::condition_variable changed;
        std::optional<response> answer;
    };

    std::shared_ptr<entry> find(caller_token token);

    std::mutex m_mutex;
    std::uint64_t m_last_token = 0;
    std::unordered_map<caller_token, std::shared_ptr<entry>> m_entries;
};

} // namespace cranberrywood

#endif
