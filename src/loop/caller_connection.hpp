#ifndef CRANBERRYWOOD_LOOP_CALLER_CONNECTION_HPP
#define CRANBERRYWOOD_LOOP_CALLER_CONNECTION_HPP

#include "loop/caller_front.hpp"
#include "loop/stream_socket.hpp"

#include <list>
#include <optional>

namespace cranberrywood {

/** One caller's connection: reads a request, writes its answer, and again. */
class caller_connection : public stream_events,
                          public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(caller_front& front,
                      std::shared_ptr<stream_socket> stream,
                      const front_limits& limits, time_point now);

    void start();
    void limit(const front_limits& limits);
    /** Writes the answer to the request that was read. */
    void answer(const http_answer_text& text, bool close, time_point now);
    /** Ends the connection when it is idle or slow for too long. */
    void sweep(time_point now);
    /** Returns how many bytes of answers the caller has not taken. */
    std::size_t held_bytes() const
    {
        return m_stream->unwritten_bytes();
    }
    /** Returns for how long the caller has taken nothing of them. */
    duration stalled(time_point now) const
    {
        return m_stream->stalled(now);
    }
    /** Returns how many bytes of an unfinished request are held. */
    std::size_t request_bytes() const
    {
        return m_phase == phase::reading ? m_reading.bytes() : 0;
    }
    /** Returns the time since the first byte of the request. */
    duration request_age(time_point now) const
    {
        return now - m_since;
    }
    /** Reads on if the memory pressure allows it again. */
    void pressure_fell()
    {
        m_stream->pressure_fell();
    }
    /** Ends the connection and the wait for an answer. */
    void end();
    /** Closes at once and tells nobody. */
    void close();
    /** Closes unless a request is read or answered. */
    void close_if_idle(time_point now);

    void bytes_came(std::string_view bytes) override;
    void end_came() override;
    void stream_failed() override;

private:
    enum class phase : std::uint8_t
    {
        /** Waits for a request or reads one. */
        reading,
        /** A request waits for its answer. */
        answering,
        /** The answer is written; what the caller still sends is dropped. */
        lingering,
    };

    void look(read_state state);
    void count_reading();
    bool refused_for_memory(read_state state);
    void set_idle(bool idle);
    void request_complete();
    duration network_time();
    void refuse(read_state state);
    void refuse_slow();
    duration time_for_request() const;
    void write(const http_answer_text& text, bool close);
    void linger();

    caller_front& m_front;
    std::shared_ptr<stream_socket> m_stream;
    request_reader m_reader;
    /** Bytes of the request being read, and of what came behind it. */
    memory_hold m_reading;
    front_limits m_limits;
    phase m_phase = phase::reading;
    caller_token m_token;
    /** Round trip to the caller, read with the first request. */
    std::optional<duration> m_round_trip;
    bool m_keep_alive = true;
    bool m_head = false;
    bool m_continue_sent = false;
    /** The head was read while there was memory for the request. */
    bool m_admitted = false;
    /** Place among the idle connections. */
    std::optional<std::list<caller_connection*>::iterator> m_idle;
    /** Start of the phase, or of the request's first byte. */
    time_point m_since;
};

} // namespace cranberrywood

#endif
