#include "io/bounded_task_queue.hpp"

namespace cranberrywood {

namespace {

/** Connections that may wait to be refused. */
constexpr std::size_t max_refusals_waiting = 256;

thread_local bool thread_refuses = false;

} // namespace

bounded_task_queue::bounded_task_queue(std::size_t threads,
                                       std::size_t queue_limit)
    : m_queue_limit(queue_limit)
{
    for (std::size_t i = 0; i < threads; ++i) {
        m_threads.emplace_back([this] { serve(m_served); });
    }
    m_threads.emplace_back([this] { refuse(); });
}

// A task that is not run leaks the connection in it, so that the last resort
// is to run it here: the flag makes it close the connection at once.
void bounded_task_queue::enqueue(task t)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_served.tasks.size() < m_queue_limit) {
            m_served.tasks.push_back(std::move(t));
            m_served.changed.notify_one();
            return;
        }
        if (m_refused.tasks.size() < max_refusals_waiting) {
            m_refused.tasks.push_back(std::move(t));
            m_refused.changed.notify_one();
            return;
        }
    }
    thread_refuses = true;
    t();
    thread_refuses = false;
}

void bounded_task_queue::shutdown()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_served.changed.notify_all();
    m_refused.changed.notify_all();
    for (std::thread& t : m_threads) {
        t.join();
    }
}

bool bounded_task_queue::has_waiting() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return !m_served.tasks.empty();
}

bool bounded_task_queue::refusing()
{
    return thread_refuses;
}

void bounded_task_queue::serve(lane& from)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    for (;;) {
        from.changed.wait(lock,
                          [&] { return !from.tasks.empty() || m_stopping; });
        if (from.tasks.empty()) {
            return;
        }
        const task next = std::move(from.tasks.front());
        from.tasks.pop_front();
        lock.unlock();
        next();
        lock.lock();
    }
}

void bounded_task_queue::refuse()
{
    thread_refuses = true;
    serve(m_refused);
}

} // namespace cranberrywood
