#ifndef CRANBERRYWOOD_LOOP_MESSAGE_READER_HPP
#define CRANBERRYWOOD_LOOP_MESSAGE_READER_HPP

#include "loop/http_types.hpp"
#include "loop/message_framing.hpp"
#include "wire/head_check.hpp"

#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace cranberrywood {

/** Bounds of one message in bytes. */
struct message_limits
{
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 1048576;
};

enum class read_state : std::uint8_t
{
    /** No byte of a message has come. */
    empty,
    partial,
    complete,
    header_too_large,
    body_too_large,
    malformed,
};

/**
 * Reads HTTP/1.1 messages of one direction out of a stream of bytes, one at
 * a time. Bytes behind a message are kept for the next.
 */
template <bool IsRequest>
class message_reader
{
public:
    using message =
        boost::beast::http::message<IsRequest, boost::beast::http::string_body>;

    explicit message_reader(message_limits limits) : m_limits(limits)
    {
        restart();
    }

    /** Takes bytes; parses unless a message is complete already. */
    read_state feed(std::string_view bytes)
    {
        m_input.append(bytes);
        return parse();
    }

    /** Takes the end of the stream. */
    read_state feed_end()
    {
        if (m_state != read_state::partial) {
            return m_state;
        }
        boost::beast::error_code error;
        m_parser->put_eof(error);
        m_state = error || !m_parser->is_done() ? read_state::malformed
                                                : state_at_end();
        return m_state;
    }

    /** Takes the complete message and goes on with the bytes behind it. */
    message take()
    {
        message taken = m_parser->release();
        restart();
        return taken;
    }

    /** Parses what was kept behind the last message. */
    read_state resume()
    {
        return parse();
    }

    /** Forgets everything, for a new stream. */
    void reset()
    {
        m_input.clear();
        restart();
    }

    /** The next message has no body whatever its header says. */
    void expect_no_body()
    {
        m_parser->skip(true);
    }

    void limit(message_limits limits)
    {
        m_limits = limits;
        if (m_state == read_state::empty) {
            restart();
        }
    }

    read_state state() const
    {
        return m_state;
    }
    bool header_complete() const
    {
        return m_parser->is_header_done();
    }
    /** Returns the message as far as it is read. */
    const message& current() const
    {
        return m_parser->get();
    }
    /** Returns how many bytes are held of messages, approximately. */
    std::size_t held_bytes() const
    {
        if (m_state == read_state::empty && m_input.empty()) {
            return 0;
        }
        // The parser keeps the fields of a head once more.
        return m_input.capacity() + 2 * m_head.capacity() +
               m_parser->get().body().size();
    }
    /** Returns how many bytes wait behind the message. */
    std::size_t kept_bytes() const
    {
        return m_input.size();
    }

private:
    void restart()
    {
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->header_limit(m_limits.header_bytes);
        m_parser->body_limit(m_limits.body_bytes);
        m_head.clear();
        m_state = read_state::empty;
    }

    read_state parse()
    {
        namespace http = boost::beast::http;
        while (!m_input.empty() && (m_state == read_state::empty ||
                                    m_state == read_state::partial)) {
            if (!m_parser->is_header_done() && has_spoiled_head()) {
                m_state = read_state::malformed;
                break;
            }
            boost::beast::error_code error;
            const std::size_t used = m_parser->put(
                boost::asio::buffer(m_input.data(), m_input.size()), error);
            if (!m_parser->is_header_done()) {
                m_head.append(m_input, 0, used);
            }
            m_input.erase(0, used);
            m_state = read_state::partial;
            if (error == http::error::need_more) {
                // Body bytes are taken as they come; a head or a line between
                // chunks that is longer than this has no end.
                if (m_input.size() > m_limits.header_bytes) {
                    m_state = read_state::malformed;
                }
                break;
            }
            if (error) {
                m_state = state_of(error);
            } else if (m_parser->is_done()) {
                m_state = state_at_end();
            } else if (used == 0) {
                break;
            }
        }
        // An idle connection keeps no memory of its last message.
        if (m_input.empty() && m_input.capacity() > small_input) {
            std::string().swap(m_input);
        }
        return m_state;
    }

    // The parser takes any three digits for a status and joins folded lines. It
    // may take the first lines of a head before the others have come.
    bool has_spoiled_head() const
    {
        const std::string joined =
            m_head.empty() ? std::string() : m_head + m_input;
        const std::string_view bytes = m_head.empty() ? m_input : joined;
        const std::size_t end = bytes.find("\r\n\r\n");
        if (end == std::string_view::npos) {
            return false;
        }
        const std::string_view head = bytes.substr(0, end + 2);
        return IsRequest ? !is_proper_request_head(head)
                         : !is_proper_answer_head(head);
    }

    // The parser gives a request with an unknown coding a body of no bytes.
    read_state state_at_end() const
    {
        return has_known_framing(m_parser->get()) ? read_state::complete
                                                  : read_state::malformed;
    }

    static read_state state_of(const boost::beast::error_code& error)
    {
        namespace http = boost::beast::http;
        if (error == http::error::header_limit) {
            return read_state::header_too_large;
        }
        return error == http::error::body_limit ? read_state::body_too_large
                                                : read_state::malformed;
    }

    /** Input memory that is kept between messages. */
    static constexpr std::size_t small_input = 512;

    message_limits m_limits;
    read_state m_state = read_state::empty;
    std::string m_input;
    /** Bytes of a head that the parser has taken before all of it came. */
    std::string m_head;
    std::optional<
        boost::beast::http::parser<IsRequest, boost::beast::http::string_body>>
        m_parser;
};

using request_reader = message_reader<true>;
using response_reader = message_reader<false>;

} // namespace cranberrywood

#endif
