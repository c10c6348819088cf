#ifndef CRANBERRYWOOD_IO_BOUNDED_TASK_QUEUE_HPP
#define CRANBERRYWOOD_IO_BOUNDED_TASK_QUEUE_HPP

#include <condition_variable>
#include <deque>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <thread>
#include <vector>

namespace cranberrywood {

/**
 * Threads that serve callers' connections, and a bounded queue of those that
 * wait for a thread. Connections beyond the queue go to one more thread,
 * which only refuses them, and beyond its own queue they are dropped.
 */
class bounded_task_queue : public httplib::TaskQueue
{
public:
    using task = std::function<void()>;

    bounded_task_queue(std::size_t threads, std::size_t queue_limit);
    ~bounded_task_queue() override = default;

    void enqueue(task t) override;
    void shutdown() override;

    /** Returns whether connections wait for a thread. */
    bool has_waiting() const;

    /** Returns whether the calling thread is the one that only refuses. */
    static bool refusing();

private:
    struct lane
    {
        std::deque<task> tasks;
        std::condition_variable changed;
    };

    void serve(lane& from);
    void refuse();

    const std::size_t m_queue_limit;
    mutable std::mutex m_mutex;
    bool m_stopping = false;
    lane m_served;
    lane m_refused;
    std::vector<std::thread> m_threads;
};

} // namespace cranberrywood

#endif
