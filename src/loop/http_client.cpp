#include "loop/http_client.hpp"

namespace cranberrywood {

namespace {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

constexpr message_limits answer_limits{65536, 64UL * 1024 * 1024};

} // namespace

http_client::http_client(loop_context& loop, endpoint address)
    : m_loop(loop), m_address(std::move(address)), m_timer(loop.io),
      m_connect_timer(loop.io), m_reader(answer_limits),
      m_held(loop.memory, memory_account::peers)
{
}

http_client::~http_client()
{
    *m_alive = false;
    drop_stream();
}

void http_client::get(const std::string& target, duration timeout,
                      done_handler done)
{
    get(target, {timeout, timeout}, std::move(done));
}

void http_client::get(const std::string& target, const call_limits& limits,
                      done_handler done)
{
    call("GET " + target + " HTTP/1.1\r\nHost: " + to_string(m_address) +
             "\r\n\r\n",
         limits, std::move(done));
}

void http_client::post(const std::string& target, const std::string& body,
                       const call_limits& limits, done_handler done)
{
    call("POST " + target + " HTTP/1.1\r\nHost: " + to_string(m_address) +
             "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
             body,
         limits, std::move(done));
}

void http_client::call(std::string request, const call_limits& limits,
                       done_handler done)
{
    m_done = std::move(done);
    m_request = std::move(request);
    m_held.set(m_request.size());
    m_request_written = false;
    const std::uint64_t call = ++m_call;
    m_timer.expires_after(limits.answer);
    m_timer.async_wait([this, call, alive = m_alive](const error_code& error) {
        if (!error && *alive && call == m_call) {
            finish("no answer in time");
        }
    });
    if (m_stream && m_stream->is_open()) {
        write_request();
    } else {
        m_connect_timer.expires_after(limits.connect);
        connect(call);
    }
}

void http_client::connect(std::uint64_t call)
{
    m_reader.reset();
    m_stream = std::make_shared<stream_socket>(m_loop, tcp_socket(m_loop.io));
    error_code error;
    const auto ip = asio::ip::make_address(m_address.host, error);
    if (error) {
        asio::post(m_loop.io, [this, call, alive = m_alive] {
            if (*alive && call == m_call) {
                finish("address is no IP number");
            }
        });
        return;
    }
    m_connect_timer.async_wait([this, call, alive = m_alive](
                                   const error_code& timer_error) {
        if (!timer_error && *alive && call == m_call && !m_request_written) {
            finish("no connection in time");
        }
    });
    m_stream->socket().async_connect(
        {ip, m_address.port}, [this, call, alive = m_alive, stream = m_stream](
                                  const error_code& connect_error) {
            if (!*alive || call != m_call || stream != m_stream) {
                return;
            }
            if (connect_error) {
                finish(connect_error.message());
                return;
            }
            m_stream->listen(this);
            m_stream->start();
            write_request();
        });
}

void http_client::write_request()
{
    m_connect_timer.cancel();
    m_request_written = true;
    m_stream->write(m_request);
}

void http_client::bytes_came(std::string_view bytes)
{
    if (!m_done) {
        drop_stream();
        return;
    }
    const read_state state = m_reader.feed(bytes);
    m_held.set(m_request.size() + m_reader.held_bytes());
    look(state);
}

void http_client::end_came()
{
    if (m_done && m_reader.feed_end() == read_state::complete) {
        look(read_state::complete);
    } else if (m_done) {
        finish("connection ended");
    } else {
        drop_stream();
    }
}

void http_client::stream_failed()
{
    if (m_done) {
        finish("connection failed");
    } else {
        drop_stream();
    }
}

void http_client::look(read_state state)
{
    if (state == read_state::empty || state == read_state::partial) {
        return;
    }
    if (state != read_state::complete) {
        finish("answer is no HTTP");
        return;
    }
    const bool ends = m_reader.current().need_eof();
    http_response response = m_reader.take();
    if (ends || !response.keep_alive() || m_reader.kept_bytes() != 0) {
        drop_stream();
    }
    finish(std::move(response));
}

void http_client::finish(http_result result)
{
    ++m_call;
    m_timer.cancel();
    if (std::holds_alternative<std::string>(result)) {
        drop_stream();
        m_reader.reset();
    }
    std::string().swap(m_request);
    m_held.set(0);
    const done_handler done = std::exchange(m_done, nullptr);
    done(std::move(result));
}

void http_client::drop_stream()
{
    if (m_stream) {
        m_stream->close();
        m_stream.reset();
    }
}

} // namespace cranberrywood
