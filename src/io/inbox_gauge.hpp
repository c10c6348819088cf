#ifndef CRANBERRYWOOD_IO_INBOX_GAUGE_HPP
#define CRANBERRYWOOD_IO_INBOX_GAUGE_HPP

#include <atomic>
#include <cstddef>

namespace cranberrywood {

/** Events that wait for the node; bounds what peers can pile up. */
class inbox_gauge
{
public:
    /** Counts an event that may not be dropped. */
    void add()
    {
        ++m_waiting;
    }
    /** Counts an event that may be dropped; returns whether there is room. */
    bool try_add()
    {
        if (m_waiting >= max_waiting) {
            return false;
        }
        ++m_waiting;
        return true;
    }
    /** Counts events that the node has taken. */
    void take(std::size_t count)
    {
        m_waiting -= count;
    }

private:
    static constexpr std::size_t max_waiting = 65536;
    std::atomic<std::size_t> m_waiting{0};
};

} // namespace cranberrywood

#endif
