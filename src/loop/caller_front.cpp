#include "loop/caller_front.hpp"

#include "loop/caller_connection.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <utility>
#include <vector>

namespace cranberrywood {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

/** Pause before accepting again when descriptors ran out. */
constexpr auto accept_pause = std::chrono::milliseconds(50);
/** Time for which a caller may take or send nothing when others wait. */
constexpr duration late_when_full = std::chrono::seconds(2);

} // namespace

caller_front::caller_front(loop_context& loop, request_handler& handler,
                           stream_accounts accounts, bool sheds)
    : m_loop(loop), m_handler(handler), m_acceptor(loop.io),
      m_accounts(accounts), m_sheds(sheds)
{
}

caller_front::~caller_front()
{
    for (const auto& [key, connection] : m_connections) {
        connection->close();
    }
}

std::optional<std::string> caller_front::listen(const endpoint& address)
{
    error_code error;
    const auto ip = asio::ip::make_address(address.host, error);
    if (error) {
        return address.host + ": is no IP number";
    }
    const tcp::endpoint at(ip, address.port);
    m_acceptor.open(at.protocol(), error);
    if (!error) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    const std::size_t buffer = m_loop.memory.limits().caller_buffer;
    if (!error && buffer > 0) {
        // Accepted connections inherit the bounds.
        bound_buffers(m_acceptor.native_handle(), buffer, buffer);
    }
    if (!error) {
        m_acceptor.bind(at, error);
    }
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return to_string(address) + ": " + error.message();
    }
    accept();
    return std::nullopt;
}

void caller_front::limit(const front_limits& limits)
{
    m_limits = limits;
    for (const auto& [key, connection] : m_connections) {
        connection->limit(limits);
    }
}

void caller_front::accept()
{
    m_acceptor.async_accept([this](const error_code& error,
                                   tcp::socket socket) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open()) {
            return;
        }
        if (error) {
            accept_later();
            return;
        }
        take(std::move(socket));
        accept();
    });
}

void caller_front::take(tcp::socket socket)
{
    if (m_connections.size() >= m_limits.max_connections) {
        m_full = true;
        // One that still has to take its answer is not idle.
        const auto idle = std::find_if(
            m_idle.begin(), m_idle.end(),
            [](const caller_connection* c) { return c->held_bytes() == 0; });
        if (idle == m_idle.end()) {
            ++m_closed.turned_away;
            return;
        }
        ++m_closed.idle;
        (*idle)->end();
    }
    auto stream =
        std::make_shared<stream_socket>(m_loop, std::move(socket), m_accounts);
    auto connection = std::make_shared<caller_connection>(
        *this, std::move(stream), m_limits, m_loop.time.now());
    m_connections[connection.get()] = connection;
    connection->start();
}

void caller_front::accept_later()
{
    auto timer = std::make_shared<asio::steady_timer>(m_loop.io, accept_pause);
    timer->async_wait([this, timer](const error_code& error) {
        if (!error && m_acceptor.is_open()) {
            accept();
        }
    });
}

void caller_front::answer(caller_token token, const http_answer_text& text)
{
    const auto found = m_waiting.find(token);
    if (found == m_waiting.end()) {
        return;
    }
    const auto connection = found->second.lock();
    m_waiting.erase(found);
    if (connection) {
        connection->answer(text, m_closing, m_loop.time.now());
        if (connection->held_bytes() > 0) {
            drop_slow_readers();
        }
    }
}

// The caller that has taken nothing for the longest goes first; of those that
// all take, the one with the most left.
void caller_front::drop_slow_readers()
{
    const time_point now = m_loop.time.now();
    std::size_t held = 0;
    std::vector<std::shared_ptr<caller_connection>> readers;
    for (const auto& [key, connection] : m_connections) {
        if (connection->held_bytes() > 0) {
            held += connection->held_bytes();
            readers.push_back(connection);
        }
    }
    if (held <= m_limits.max_held_bytes) {
        return;
    }
    std::sort(readers.begin(), readers.end(),
              [&](const auto& a, const auto& b) {
                  return std::make_pair(a->stalled(now), a->held_bytes()) >
                         std::make_pair(b->stalled(now), b->held_bytes());
              });
    for (const auto& reader : readers) {
        if (held <= m_limits.max_held_bytes) {
            return;
        }
        held -= reader->held_bytes();
        m_handler.slow_reader_dropped(reader->held_bytes(),
                                      reader->stalled(now));
        reader->end();
    }
}

void caller_front::pressure_fell()
{
    std::vector<std::shared_ptr<caller_connection>> all;
    for (const auto& [key, connection] : m_connections) {
        all.push_back(connection);
    }
    for (const auto& connection : all) {
        connection->pressure_fell();
    }
}

void caller_front::relieve(std::size_t excess, duration late)
{
    const std::size_t before = m_loop.memory.sum();
    const auto enough = [&] { return m_loop.memory.sum() + excess <= before; };
    close_late(late, enough);
}

// Callers that hold a connection by stalling would keep others out as idle ones
// do.
void caller_front::make_room()
{
    const std::size_t most = m_limits.max_connections;
    const bool has_idle = std::any_of(
        m_idle.begin(), m_idle.end(),
        [](const caller_connection* c) { return c->held_bytes() == 0; });
    if (!m_full || m_connections.size() < most || has_idle) {
        return;
    }
    const auto enough = [&] { return m_connections.size() <= most / 8 * 7; };
    close_late(late_when_full, enough);
}

void caller_front::close_late(duration late,
                              const std::function<bool()>& enough)
{
    for (const auto& reader : stalled_readers(late)) {
        if (enough()) {
            return;
        }
        ++m_closed.slow_readers;
        reader->end();
    }
    for (const auto& body : slow_bodies(late)) {
        if (enough()) {
            return;
        }
        ++m_closed.slow_bodies;
        body->end();
    }
}

std::vector<std::shared_ptr<caller_connection>>
caller_front::stalled_readers(duration late) const
{
    const time_point now = m_loop.time.now();
    std::vector<std::shared_ptr<caller_connection>> readers;
    for (const auto& [key, connection] : m_connections) {
        if (connection->held_bytes() > 0 && connection->stalled(now) >= late) {
            readers.push_back(connection);
        }
    }
    std::sort(readers.begin(), readers.end(),
              [&](const auto& a, const auto& b) {
                  return std::make_pair(a->stalled(now), a->held_bytes()) >
                         std::make_pair(b->stalled(now), b->held_bytes());
              });
    return readers;
}

std::vector<std::shared_ptr<caller_connection>>
caller_front::slow_bodies(duration late) const
{
    const time_point now = m_loop.time.now();
    const auto rate = [now](const auto& c) {
        const double seconds =
            std::chrono::duration<double>(c->request_age(now)).count();
        return static_cast<double>(c->request_bytes()) /
               std::max(seconds, 1e-9);
    };
    std::vector<std::shared_ptr<caller_connection>> bodies;
    for (const auto& [key, connection] : m_connections) {
        if (connection->request_bytes() > 0 &&
            connection->request_age(now) >= late) {
            bodies.push_back(connection);
        }
    }
    std::sort(bodies.begin(), bodies.end(),
              [&](const auto& a, const auto& b) { return rate(a) < rate(b); });
    return bodies;
}

void caller_front::close_after_answers()
{
    m_closing = true;
}

void caller_front::close_idle()
{
    std::vector<std::shared_ptr<caller_connection>> all;
    for (const auto& [key, connection] : m_connections) {
        all.push_back(connection);
    }
    for (const auto& connection : all) {
        connection->close_if_idle(m_loop.time.now());
    }
}

// Closing the listener resets what waits in its queue.
void caller_front::stop_accepting()
{
    error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(m_loop.io);
        m_acceptor.accept(socket, error);
        if (!error) {
            take(std::move(socket));
        }
    }
    error_code ignored;
    m_acceptor.close(ignored);
}

void caller_front::sweep(time_point now)
{
    std::vector<std::shared_ptr<caller_connection>> all;
    all.reserve(m_connections.size());
    for (const auto& [key, connection] : m_connections) {
        all.push_back(connection);
    }
    for (const auto& connection : all) {
        connection->sweep(now);
    }
    make_room();
    // An eighth must be free again, so that the state does not alternate.
    m_full = m_full && m_connections.size() >= m_limits.max_connections / 8 * 7;
}

caller_token
caller_front::token_for(const std::shared_ptr<caller_connection>& c)
{
    const caller_token token(++m_last_token);
    m_waiting[token] = c;
    return token;
}

void caller_front::forget(caller_token token)
{
    m_waiting.erase(token);
}

void caller_front::remove(caller_connection* connection)
{
    m_connections.erase(connection);
}

} // namespace cranberrywood
