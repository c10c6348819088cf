#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_WINDOW_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_WINDOW_HPP

#include "settings/settings.hpp"

namespace cranberrywood {

/**
 * Concurrency window of one backend server: the limit on requests that its
 * owner has in flight there. It starts at the service's cold limit, grows only
 * on completed requests, and shrinks on shed, on errors and on rising latency.
 */
class server_window
{
public:
    explicit server_window(const service_settings& service);

    /** Applies the limits of new settings. */
    void limits_changed(const service_settings& service);

    /**
     * Restarts from the cold limit, as the server may be a new process or its
     * caches may be cold.
     */
    void reset_to_cold(time_point now);

    /** Returns whether one more request may be sent. */
    bool has_room() const
    {
        return m_in_flight < m_limit;
    }
    /** Returns whether the window is still held at the cold limit. */
    bool cold() const
    {
        return m_cold;
    }
    std::uint32_t limit() const
    {
        return m_limit;
    }
    /** Returns the number of requests that occupy the window. */
    std::uint32_t in_flight() const
    {
        return m_in_flight;
    }

    /** Records that a request was sent. */
    void sent();
    /** Records that a request was run successfully. */
    void completed(duration latency, time_point now);
    /** Records that a request was run and failed. */
    void failed();
    /** Records that the server shed a request due to overload. */
    void shed();
    /** Records that a request ended without a bearing on the limit. */
    void released();
    /** Clears the requests in flight after their process has ended. */
    void clear_in_flight();

    /** Returns the shortest recent latency. */
    duration shortest_latency() const
    {
        return m_shortest_latency;
    }
    /** Returns the average recent latency. */
    duration average_latency() const
    {
        return m_recent_latency;
    }

private:
    std::uint32_t max_limit() const;
    void update_latency(duration latency);
    void finish_round(time_point now);
    bool is_warmed_up(time_point now) const;
    void grow();
    void shrink();

    std::uint32_t m_cold_limit = 1;
    std::uint32_t m_slots = 1;
    std::uint32_t m_limit = 1;
    std::uint32_t m_in_flight = 0;
    bool m_cold = true;
    bool m_was_full = false;
    time_point m_cold_since;
    std::uint32_t m_completed_cold = 0;
    std::uint32_t m_completed_in_round = 0;
    duration m_recent_latency{0};
    duration m_long_term_latency{0};
    duration m_shortest_latency{0};
};

} // namespace cranberrywood

#endif
