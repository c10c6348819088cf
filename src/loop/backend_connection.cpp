#include "loop/backend_connection.hpp"

#include <charconv>

namespace cranberrywood {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using error_code = boost::system::error_code;
using namespace std::chrono_literals;

/** Time in which a connection must be set up. */
constexpr auto connect_timeout = 400ms;
/** Answers to other requests that are dropped before giving up. */
constexpr std::uint32_t max_strays = 2;
/** Margin before the server closes an idle connection. */
constexpr duration idle_margin = 500ms;
constexpr duration min_idle_limit = 250ms;
/**
 * Time beyond a round trip in which the reset of a server that forgot a
 * connection is read. A server that resets later may have run the request.
 */
constexpr duration reset_margin = 2ms;
constexpr unsigned first_final_status = 200;
/** Interim responses before an answer that are read before giving up. */
constexpr std::uint32_t max_interim = 8;
/**
 * Largest head and body of an answer, in bytes. A VM has 160 MB, and several
 * servers may send without end at once.
 */
constexpr message_limits answer_limits{65536, 4UL * 1024 * 1024};
constexpr stream_accounts server_accounts{memory_account::server_answers,
                                          memory_account::server_requests};

/**
 * Returns whether a response below 200 comes before the answer. Nobody asks for
 * another protocol, and such a response has no body.
 */
bool is_interim(const http_response& response)
{
    constexpr unsigned continue_status = 100;
    constexpr unsigned processing_status = 102;
    constexpr unsigned early_hints_status = 103;
    const unsigned status = response.result_int();
    const bool known = status == continue_status ||
                       status == processing_status ||
                       status == early_hints_status;
    return known && response.count(http::field::content_length) == 0 &&
           response.count(http::field::transfer_encoding) == 0;
}

} // namespace

backend_connection::backend_connection(backend_links& links,
                                       backend_server_id server,
                                       const endpoint& address)
    : m_links(links), m_server(server), m_address(address),
      m_stream(std::make_shared<stream_socket>(
          links.m_loop, tcp_socket(links.m_loop.io), server_accounts)),
      m_connect_timer(links.m_loop.io), m_keep_timer(links.m_loop.io),
      m_reader(answer_limits),
      m_answer_held(links.m_loop.memory, memory_account::server_answers),
      m_request_held(links.m_loop.memory, memory_account::server_requests)
{
}

void backend_connection::open(carried_exchange exchange)
{
    m_exchange = std::move(exchange);
    m_request_held.set(m_exchange->bytes.capacity());
    connect();
}

void backend_connection::refuse(carried_exchange exchange)
{
    m_exchange = std::move(exchange);
    asio::post(m_links.m_loop.io, [self = shared_from_this()] {
        self->not_connected(exchange_fault::not_connected);
    });
}

void backend_connection::open_idle()
{
    m_probing = true;
    connect();
}

void backend_connection::connect()
{
    const auto self = shared_from_this();
    error_code error;
    const auto ip = asio::ip::make_address(m_address.host, error);
    if (error) {
        asio::post(m_links.m_loop.io, [self] {
            self->not_connected(exchange_fault::not_connected);
        });
        return;
    }
    m_connect_timer.expires_after(connect_timeout);
    m_connect_timer.async_wait([self](const error_code& timer_error) {
        if (!timer_error && !self->m_connected) {
            self->not_connected(exchange_fault::not_connected);
        }
    });
    const std::size_t buffer = m_links.m_loop.memory.limits().server_buffer;
    if (buffer > 0) {
        m_stream->socket().open(
            ip.is_v4() ? asio::ip::tcp::v4() : asio::ip::tcp::v6(), error);
        bound_buffers(m_stream->socket().native_handle(), buffer, buffer);
    }
    m_stream->socket().async_connect(
        {ip, m_address.port}, [self](const error_code& connect_error) {
            self->m_connect_timer.cancel();
            if (!self->m_exchange && !self->m_probing) {
                return;
            }
            if (connect_error) {
                self->not_connected(connect_error ==
                                            asio::error::connection_refused
                                        ? exchange_fault::connection_refused
                                        : exchange_fault::not_connected);
            } else {
                self->connected();
            }
        });
}

void backend_connection::not_connected(exchange_fault fault)
{
    if (!m_probing) {
        fail(fault);
        return;
    }
    const auto self = shared_from_this();
    close();
    m_links.probed(self, fault == exchange_fault::connection_refused
                             ? probe_result::refused
                             : probe_result::unreachable);
}

void backend_connection::connected()
{
    m_connected = true;
    m_stream->listen(this);
    // Answers of open requests are read until the hard limit, so that these
    // requests end and give their memory back.
    m_stream->yield_at(memory_pressure::hard);
    m_stream->start();
    // Later estimates contain the time in which the server works.
    m_round_trip = m_stream->round_trip();
    if (m_probing) {
        m_probing = false;
        m_idle_since = m_links.m_loop.time.now();
        m_links.probed(shared_from_this(), probe_result::accepted);
        return;
    }
    m_written_at = m_links.m_loop.time.now();
    write(std::move(*m_exchange));
}

void backend_connection::send(carried_exchange exchange)
{
    m_on_kept = true;
    m_keep_timer.cancel();
    m_written_at = m_links.m_loop.time.now();
    m_rested = rested(m_written_at);
    write(std::move(exchange));
}

void backend_connection::write(carried_exchange exchange)
{
    m_exchange = std::move(exchange);
    m_interim = 0;
    m_answering = false;
    if (m_exchange->head) {
        m_reader.expect_no_body();
    }
    m_stream->write(std::move(m_exchange->bytes));
    m_request_held.set(0);
}

void backend_connection::close()
{
    m_exchange.reset();
    m_probing = false;
    m_connect_timer.cancel();
    m_keep_timer.cancel();
    m_stream->close();
    m_request_held.set(0);
    m_answer_held.set(0);
}

void backend_connection::bytes_came(std::string_view bytes)
{
    if (!m_exchange) {
        // Bytes that no request has asked for.
        close();
        m_links.ended(this, close_reason::ended_by_server);
        return;
    }
    m_answering = true;
    if (m_on_kept) {
        m_on_kept = false;
        m_links.m_rest_limits.worked(m_server, m_rested,
                                     m_links.m_loop.time.now());
    }
    const read_state state = m_reader.feed(bytes);
    m_answer_held.set(m_reader.held_bytes());
    look(state);
}

void backend_connection::end_came()
{
    if (!m_exchange) {
        close();
        m_links.ended(this, close_reason::ended_by_server);
        return;
    }
    if (m_reader.feed_end() == read_state::complete) {
        answer_complete();
    } else {
        lost(false);
    }
}

void backend_connection::stream_failed()
{
    if (!m_exchange) {
        m_links.ended(this, close_reason::ended_by_server);
        return;
    }
    lost(true);
}

// A connection that had been idle and is reset at once was closed by the server
// before it could read the request. A new one that is reset at once, before any
// byte of an answer, was one too many for the server.
void backend_connection::lost(bool reset)
{
    const time_point now = m_links.m_loop.time.now();
    const bool prompt = now - m_written_at <= m_round_trip + reset_margin;
    if (!m_on_kept && !m_answering) {
        m_links.m_rest_limits.lost_fresh(m_server, now);
        fail(reset && prompt ? exchange_fault::over_connection_limit
                             : exchange_fault::connection_lost);
        return;
    }
    if (!m_on_kept || !prompt) {
        fail(exchange_fault::connection_lost);
        return;
    }
    m_links.m_rest_limits.lost(m_server, m_rested, now);
    fail(exchange_fault::kept_connection_lost);
}

void backend_connection::look(read_state state)
{
    switch (state) {
    case read_state::empty:
    case read_state::partial:
        return;
    case read_state::complete:
        answer_complete();
        return;
    default:
        fail(exchange_fault::invalid_answer);
        return;
    }
}

// On a connection that has carried an answer, bytes that name no request may be
// the rest of an earlier one, so they prove nothing: the server may run this
// request. The first answer of a connection can only be to its request; the
// connection is not used again, so a server that names none stays in use.
void backend_connection::answer_complete()
{
    const bool may_end = m_reader.current().need_eof();
    http_response response = m_reader.take();
    m_answer_held.set(m_reader.held_bytes());
    const bool below_200 = response.result_int() < first_final_status;
    const bool interim = below_200 && is_interim(response);
    const bool ends = may_end && !interim;
    if (below_200 && !interim) {
        // A server that sends it as its answer sends no other.
        fail(exchange_fault::invalid_answer);
        return;
    }
    const answer_match match =
        interim ? answer_match::other
                : m_links.m_handler.match(response, m_exchange->request_id);
    if (match == answer_match::invalid) {
        fail(exchange_fault::invalid_answer);
        return;
    }
    if (match == answer_match::unnamed && m_carried) {
        fail(exchange_fault::connection_lost);
        return;
    }
    if (match != answer_match::other) {
        const bool reusable = match == answer_match::own && !ends &&
                              response.keep_alive() &&
                              m_reader.kept_bytes() == 0 && m_strays == 0 &&
                              m_stream->all_written();
        finish(std::move(response), reusable);
        return;
    }
    m_strays += interim ? 0 : 1;
    m_interim += interim ? 1 : 0;
    if (m_strays > max_strays || m_interim > max_interim || ends) {
        fail(exchange_fault::invalid_answer);
        return;
    }
    // A late answer to an earlier request; this request's is still to come.
    look(m_reader.resume());
}

void backend_connection::finish(http_response response, bool reusable)
{
    const auto self = shared_from_this();
    const exchange_id id = m_exchange->id;
    const connection_keep keep = m_exchange->keep;
    m_exchange.reset();
    m_carried = true;
    m_links.m_busy.erase(id);
    if (reusable) {
        learn_idle_limit(response);
        m_idle_since = m_links.m_loop.time.now();
        m_keep = keep.idle;
        await_end_of_keep();
        m_links.became_idle(self, keep.most);
    } else {
        close();
        m_links.m_counts.count(close_reason::not_reusable);
    }
    m_links.m_handler.exchange_answered(id, std::move(response));
}

void backend_connection::fail(exchange_fault fault)
{
    if (!m_exchange) {
        return;
    }
    const auto self = shared_from_this();
    const exchange_id id = m_exchange->id;
    close();
    m_links.m_counts.count(close_reason::failed);
    m_links.m_busy.erase(id);
    m_links.m_handler.exchange_failed(id, fault);
}

// The sweep of all connections is too coarse: a connection may be kept for
// 100 ms.
void backend_connection::await_end_of_keep()
{
    if (m_keep >= m_idle_limit) {
        return;
    }
    m_keep_timer.expires_after(m_keep);
    m_keep_timer.async_wait([weak = weak_from_this()](const error_code& error) {
        const auto self = weak.lock();
        if (!error && self != nullptr && !self->m_exchange &&
            self->m_stream->socket().is_open()) {
            self->close();
            self->m_links.ended(self.get(), close_reason::idle);
        }
    });
}

void backend_connection::learn_idle_limit(const http_response& response)
{
    constexpr std::string_view prefix = "timeout=";
    const auto header = response[http::field::keep_alive];
    const std::string_view text(header.data(), header.size());
    const std::size_t at = text.find(prefix);
    if (at == std::string_view::npos) {
        return;
    }
    int seconds = 0;
    const char* first = text.data() + at + prefix.size();
    const auto read =
        std::from_chars(first, text.data() + text.size(), seconds);
    if (read.ec == std::errc()) {
        m_idle_limit = std::max<duration>(
            std::chrono::seconds(seconds) - idle_margin, min_idle_limit);
    }
}

} // namespace cranberrywood
