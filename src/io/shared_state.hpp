#ifndef CRANBERRYWOOD_IO_SHARED_STATE_HPP
#define CRANBERRYWOOD_IO_SHARED_STATE_HPP

#include "core/node_status.hpp"
#include "settings/settings.hpp"
#include "units/time.hpp"

#include <memory>
#include <mutex>

namespace cranberrywood {

/** A node's status and when it was taken. */
struct status_reading
{
    node_status status;
    time_point at;
};

/**
 * What the node actor lets the other threads of the process see: its latest
 * status and the accepted settings. Readers get snapshots and never wait for
 * the node.
 */
class shared_state
{
public:
    /** Replaces the status. */
    void publish(std::shared_ptr<const status_reading> reading)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_status = std::move(reading);
    }
    /** Returns the latest status; null before the first. */
    std::shared_ptr<const status_reading> status() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_status;
    }
    /** Replaces the accepted settings. */
    void accept(std::shared_ptr<const settings_index> settings)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_settings = std::move(settings);
    }
    /** Returns the accepted settings; null before the first. */
    std::shared_ptr<const settings_index> settings() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_settings;
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const status_reading> m_status;
    std::shared_ptr<const settings_index> m_settings;
};

} // namespace cranberrywood

#endif
