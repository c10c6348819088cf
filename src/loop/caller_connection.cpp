#include "loop/caller_connection.hpp"

#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

namespace cranberrywood {

namespace {

namespace http = boost::beast::http;
using namespace std::chrono_literals;

/** Bytes of later requests that are kept while one is served. */
constexpr std::size_t max_pipelined_bytes = 65536;
/** Time in which a caller must notice that the connection ends. */
constexpr duration linger_time = 1s;
/** Time for which a caller may take nothing of an answer that waits for it. */
constexpr std::chrono::milliseconds max_stall{15000};
/** HTTP/1.1 as Beast writes it. */
constexpr unsigned http_1_1 = 11;
/** Age up to which a connection without a request is not closed as idle. */
constexpr duration fresh_age = 250ms;

unsigned status_of(read_state state)
{
    switch (state) {
    case read_state::header_too_large:
        return 431;
    case read_state::body_too_large:
        return 413;
    default:
        return 400;
    }
}

bool expects_continue(const http_request& request)
{
    const auto expect = request.find(http::field::expect);
    return expect != request.end() && request.version() >= http_1_1 &&
           boost::beast::iequals(expect->value(), "100-continue");
}

} // namespace

caller_connection::caller_connection(caller_front& front,
                                     std::shared_ptr<stream_socket> stream,
                                     const front_limits& limits, time_point now)
    : m_front(front), m_stream(std::move(stream)), m_reader(limits.message),
      m_reading(front.m_loop.memory, front.m_accounts.read), m_limits(limits),
      m_since(now)
{
}

void caller_connection::start()
{
    m_stream->listen(this);
    m_stream->start();
    m_stream->set_silence_limit(max_stall);
    m_stream->count_kernel_buffer(2 *
                                  m_front.m_loop.memory.limits().caller_buffer);
    set_idle(true);
}

void caller_connection::limit(const front_limits& limits)
{
    m_limits = limits;
    m_reader.limit(limits.message);
}

void caller_connection::bytes_came(std::string_view bytes)
{
    if (m_phase == phase::lingering) {
        return;
    }
    if (m_phase == phase::answering) {
        m_reader.feed(bytes);
        count_reading();
        if (m_reader.kept_bytes() > max_pipelined_bytes) {
            m_stream->pause_reading();
        }
        return;
    }
    if (m_reader.state() == read_state::empty) {
        m_since = m_front.m_loop.time.now();
        set_idle(false);
    }
    const read_state state = m_reader.feed(bytes);
    count_reading();
    look(state);
}

// A new head is read, so that its request can be refused at once; a body, and
// requests behind an open one, can wait in the kernel.
void caller_connection::count_reading()
{
    m_reading.set(m_reader.held_bytes());
    if (m_front.m_sheds) {
        const bool can_wait =
            m_phase == phase::answering || m_reader.header_complete();
        m_stream->yield_at(can_wait ? memory_pressure::soft
                                    : memory_pressure::hard);
    }
}

/** Refuses a request for which there is no memory; returns whether it did. */
bool caller_connection::refused_for_memory(read_state state)
{
    if (!m_front.m_sheds || !m_reader.header_complete()) {
        return false;
    }
    const memory_pressure pressure = m_front.m_loop.memory.pressure();
    const bool admitted = m_admitted ? state != read_state::complete ||
                                           pressure != memory_pressure::hard
                                     : pressure == memory_pressure::none;
    if (admitted) {
        m_admitted = true;
        return false;
    }
    m_reader.reset();
    m_reading.set(0);
    write(m_front.m_handler.refuse_for_memory(), true);
    linger();
    return true;
}

void caller_connection::set_idle(bool idle)
{
    if (idle && !m_idle) {
        m_idle = m_front.m_idle.insert(m_front.m_idle.end(), this);
    } else if (!idle && m_idle) {
        m_front.m_idle.erase(*m_idle);
        m_idle.reset();
    }
}

// A caller that ends its direction has left: HTTP callers do not close half
// of a connection while they wait.
void caller_connection::end_came()
{
    end();
}

void caller_connection::stream_failed()
{
    end();
}

void caller_connection::look(read_state state)
{
    const bool may_refuse =
        state == read_state::partial || state == read_state::complete;
    if (may_refuse && refused_for_memory(state)) {
        return;
    }
    switch (state) {
    case read_state::empty:
        return;
    case read_state::partial:
        if (m_reader.header_complete() && !m_continue_sent &&
            expects_continue(m_reader.current())) {
            m_continue_sent = true;
            m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        return;
    case read_state::complete:
        request_complete();
        return;
    case read_state::header_too_large:
    case read_state::body_too_large:
    case read_state::malformed:
        refuse(state);
        return;
    }
}

void caller_connection::request_complete()
{
    m_phase = phase::answering;
    m_continue_sent = false;
    m_admitted = false;
    set_idle(false);
    http_request request = m_reader.take();
    count_reading();
    m_keep_alive = request.keep_alive();
    m_head = request.method() == http::verb::head;
    m_token = m_front.token_for(shared_from_this());
    m_front.m_handler.request_read(m_token, std::move(request), network_time());
}

// The first request of a connection has waited a round trip for the connection
// to be set up.
duration caller_connection::network_time()
{
    if (m_round_trip) {
        return *m_round_trip;
    }
    m_round_trip = m_stream->round_trip();
    return *m_round_trip * 2;
}

void caller_connection::answer(const http_answer_text& text, bool close,
                               time_point now)
{
    m_token = caller_token();
    // A request that came behind this one was read already: it is answered.
    const bool more =
        m_reader.state() != read_state::empty || m_reader.kept_bytes() > 0;
    const bool ends = (close && !more) || !m_keep_alive;
    write(text, ends);
    if (ends) {
        linger();
        return;
    }
    m_phase = phase::reading;
    m_since = now;
    const read_state state = m_reader.resume();
    count_reading();
    set_idle(state == read_state::empty);
    m_stream->resume_reading();
    look(state);
}

void caller_connection::write(const http_answer_text& text, bool close)
{
    const auto reason = http::obsolete_reason(http::int_to_status(text.status));
    std::string bytes;
    bytes.reserve(text.header_lines.size() + text.body.size() + 128);
    bytes += "HTTP/1.1 ";
    bytes += std::to_string(text.status);
    bytes += ' ';
    bytes.append(reason.data(), reason.size());
    bytes += "\r\n";
    bytes += text.header_lines;
    bytes += "Content-Length: ";
    bytes += std::to_string(text.body.size());
    bytes += close ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n";
    if (!m_head) {
        bytes += text.body;
    }
    m_stream->write(std::move(bytes));
}

void caller_connection::refuse(read_state state)
{
    const unsigned status = status_of(state);
    m_front.m_handler.bytes_refused(status);
    write({status, "", ""}, true);
    linger();
}

void caller_connection::refuse_slow()
{
    constexpr unsigned request_timeout = 408;
    m_front.m_handler.bytes_refused(request_timeout);
    write({request_timeout, "", ""}, true);
    linger();
}

// Closing with unread bytes would reset the connection, and the caller might
// lose the answer; so the caller's bytes are read and dropped for a while.
void caller_connection::linger()
{
    m_phase = phase::lingering;
    set_idle(false);
    // What comes is dropped and costs no memory.
    m_stream->yield_at(std::nullopt);
    m_since = m_front.m_loop.time.now();
    m_stream->resume_reading();
    m_stream->finish_writing();
}

void caller_connection::sweep(time_point now)
{
    if (!m_stream->all_written()) {
        // The time of the phase begins once the caller has the answer.
        m_since = now;
        if (m_stream->stalled(now) > max_stall) {
            end();
        }
        return;
    }
    const duration age = now - m_since;
    switch (m_phase) {
    case phase::reading:
        if (m_reader.state() == read_state::empty) {
            if (age > m_limits.idle_timeout) {
                end();
            }
        } else if (age > time_for_request()) {
            refuse_slow();
        }
        return;
    case phase::answering:
        return;
    case phase::lingering:
        if (age > linger_time) {
            end();
        }
        return;
    }
}

/** Returns the time that a caller has from the first byte on. */
duration caller_connection::time_for_request() const
{
    return m_reader.header_complete()
               ? m_limits.header_timeout + m_limits.idle_timeout
               : m_limits.header_timeout;
}

void caller_connection::close()
{
    m_stream->close();
}

// The request of a connection that was just set up is on its way.
void caller_connection::close_if_idle(time_point now)
{
    if (m_phase == phase::reading && m_reader.state() == read_state::empty &&
        now - m_since >= fresh_age) {
        linger();
    }
}

void caller_connection::end()
{
    const auto self = shared_from_this();
    m_stream->close();
    set_idle(false);
    m_reading.set(0);
    if (m_phase == phase::answering && m_token.is_set()) {
        const caller_token token = m_token;
        m_token = caller_token();
        m_front.forget(token);
        m_front.m_handler.caller_closed(token);
    }
    m_front.remove(this);
}

} // namespace cranberrywood
