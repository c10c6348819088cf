#ifndef CRANBERRYWOOD_TESTS_BENCH_TIMELINE_HPP
#define CRANBERRYWOOD_TESTS_BENCH_TIMELINE_HPP

#include "units/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace cranberrywood::bench {

/** Simulated clock with the actions that are due. */
class timeline
{
public:
    using action = std::function<void()>;

    time_point now() const
    {
        return m_now;
    }
    /** Runs an action after a delay; equal times run in order of entry. */
    void after(duration delay, action act)
    {
        m_due.push({m_now + delay, ++m_count, std::move(act)});
    }
    /** Runs all actions that are due until a time. */
    void run_until(time_point end)
    {
        while (!m_due.empty() && m_due.top().at <= end) {
            const entry next = m_due.top();
            m_due.pop();
            m_now = next.at;
            next.act();
        }
        m_now = end;
    }

private:
    struct entry
    {
        time_point at;
        std::uint64_t order = 0;
        action act;

        friend bool operator<(const entry& a, const entry& b)
        {
            return a.at != b.at ? b.at < a.at : b.order < a.order;
        }
    };

    time_point m_now{std::chrono::hours(1)};
    std::uint64_t m_count = 0;
    std::priority_queue<entry> m_due;
};

} // namespace cranberrywood::bench

#endif
