#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_WINDOW_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_WINDOW_HPP

#include "settings/settings.hpp"

namespace cranberrywood {

/**
 * Concurrency window of one backend server: how many requests its owner lets
 * run there at a time. It starts at the service's cold limit, grows only on
 * completed work, and shrinks on shed, on errors and on rising latency.
 */
class server_window
{
public:
    explicit server_window(const service_settings& service);

    /** Takes over the limits of new settings. */
    void limits_changed(const service_settings& service);

    /** Restarts from the cold limit: the server may be a new process. */
    void reset_to_cold(time_point now);

    /** Returns whether one more request may be sent. */
    bool has_room() const
    {
        return m_in_flight < m_limit;
    }
    /** Returns whether the server is still held to its cold limit. */
    bool cold() const
    {
        return m_cold;
    }
    /** Returns the window's current size. */
    std::uint32_t limit() const
    {
        return m_limit;
    }
    /** Returns the number of requests that occupy the window. */
    std::uint32_t in_flight() const
    {
        return m_in_flight;
    }

    /** Takes note that a request was sent. */
    void sent();
    /** Takes note that a request was run, successfully. */
    void completed(duration latency, time_point now);
    /** Takes note that a request was run and failed. */
    void failed();
    /** Takes note that the server refused a request for lack of room. */
    void shed();
    /** Takes note that a request left the server without being run. */
    void released();
    /** Forgets all requests in flight: their process is gone. */
    void clear_in_flight();

    /** Returns the shortest time in which the server answered of late. */
    duration shortest_latency() const
    {
        return m_shortest;
    }
    /** Returns the average time in which the server answered of late. */
    duration average_latency() const
    {
        return m_recent;
    }

private:
    std::uint32_t largest_limit() const;
    void learn_latency(duration latency);
    void finish_round(time_point now);
    bool warmed_up(time_point now) const;
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
    duration m_recent{0};
    duration m_long_term{0};
    duration m_shortest{0};
};

} // namespace cranberrywood

#endif
