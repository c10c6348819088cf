#include <rapidcheck.h>

#include "core/random_source.hpp"
#include "loop/message_reader.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <optional>

using namespace cranberrywood;

namespace {

constexpr int fuzzed_streams = 10000;
const message_limits limits{4096, 4096};

/** Where a message ends and what its body is. */
struct framed_message
{
    std::string body;
    std::size_t end = 0;
};

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c);
    });
    return text;
}

std::string trimmed(const std::string& text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    const std::size_t last = text.find_last_not_of(" \t");
    return first == std::string::npos ? ""
                                      : text.substr(first, last - first + 1);
}

enum class message_kind : std::uint8_t
{
    request,
    answer,
};

/**
 * Reads one message by the letter of RFC 9112, without any tolerance; returns
 * none for anything unusual. The bytes are all that come on the connection.
 */
class strict_reader
{
public:
    strict_reader(std::string_view bytes, message_kind kind)
        : m_bytes(bytes), m_kind(kind)
    {
    }

    std::optional<framed_message> read()
    {
        const auto first_line = line();
        if (!first_line) {
            return std::nullopt;
        }
        std::vector<std::pair<std::string, std::string>> headers;
        while (true) {
            const auto text = line();
            if (!text) {
                return std::nullopt;
            }
            if (text->empty()) {
                break;
            }
            if (is_space(text->front()) && !headers.empty()) {
                // A folded line goes on with the value before it.
                headers.back().second += " " + trimmed(*text);
                continue;
            }
            const std::size_t colon = text->find(':');
            const std::string name = lower(text->substr(0, colon));
            const bool proper = colon != std::string::npos && colon > 0 &&
                                name.find_first_of(" \t") == std::string::npos;
            if (!proper) {
                return std::nullopt;
            }
            headers.emplace_back(name, text->substr(colon + 1));
        }
        std::vector<std::string> lengths;
        std::vector<std::string> codings;
        for (const auto& [name, value] : headers) {
            if (name == "content-length") {
                add_lengths(trimmed(value), lengths);
            } else if (name == "transfer-encoding") {
                codings.push_back(lower(trimmed(value)));
            }
        }
        if (m_kind == message_kind::answer && has_no_body(*first_line)) {
            return framed_message{"", m_at};
        }
        return body(lengths, codings);
    }

private:
    static bool has_no_body(const std::string& status_line)
    {
        return status_line.find(" 204 ") != std::string::npos ||
               status_line.find(" 304 ") != std::string::npos;
    }
    static bool is_space(char c)
    {
        return c == ' ' || c == '\t';
    }
    static std::string without_zeros(const std::string& digits)
    {
        const std::size_t first = digits.find_first_not_of('0');
        return first == std::string::npos ? digits.substr(0, 1)
                                          : digits.substr(first);
    }
    /** RFC 9110, 8.6: a list of equal lengths stands for one. */
    static void add_lengths(const std::string& value,
                            std::vector<std::string>& lengths)
    {
        std::size_t at = 0;
        while (at <= value.size()) {
            const std::size_t comma =
                std::min(value.find(',', at), value.size());
            const std::string length =
                without_zeros(trimmed(value.substr(at, comma - at)));
            if (lengths.empty() || lengths.back() != length) {
                lengths.push_back(length);
            }
            at = comma + 1;
        }
    }
    std::optional<std::string> line()
    {
        const std::size_t end = m_bytes.find("\r\n", m_at);
        if (end == std::string_view::npos) {
            return std::nullopt;
        }
        const std::string text(m_bytes.substr(m_at, end - m_at));
        m_at = end + 2;
        return text.find_first_of("\r\n") == std::string::npos
                   ? std::optional(text)
                   : std::nullopt;
    }
    std::optional<std::string> take(std::size_t count)
    {
        if (m_bytes.size() - m_at < count) {
            return std::nullopt;
        }
        const std::string taken(m_bytes.substr(m_at, count));
        m_at += count;
        return taken;
    }
    static std::optional<std::size_t> number(const std::string& text, int base)
    {
        const char* digits =
            base == 16 ? "0123456789abcdefABCDEF" : "0123456789";
        if (text.empty() || text.size() > 6 ||
            text.find_first_not_of(digits) != std::string::npos) {
            return std::nullopt;
        }
        return std::stoul(text, nullptr, base);
    }
    std::optional<framed_message> body(const std::vector<std::string>& lengths,
                                       const std::vector<std::string>& codings)
    {
        if (!codings.empty()) {
            const bool chunked = codings.size() == 1 && lengths.empty() &&
                                 codings[0] == "chunked";
            return chunked ? chunks() : std::nullopt;
        }
        if (lengths.empty() && m_kind == message_kind::answer) {
            // It ends with its connection.
            return framed_message{std::string(m_bytes.substr(m_at)),
                                  m_bytes.size()};
        }
        if (lengths.empty()) {
            return framed_message{"", m_at};
        }
        const auto length = number(lengths[0], 10);
        if (lengths.size() > 1 || !length) {
            return std::nullopt;
        }
        const auto bytes = take(*length);
        return bytes ? std::optional(framed_message{*bytes, m_at})
                     : std::nullopt;
    }
    std::optional<framed_message> chunks()
    {
        std::string body;
        while (true) {
            const auto head = line();
            const auto size = head
                                  ? number(head->substr(0, head->find(';')), 16)
                                  : std::nullopt;
            if (!size) {
                return std::nullopt;
            }
            if (*size == 0) {
                break;
            }
            const auto data = take(*size);
            if (!data || take(2) != std::optional<std::string>("\r\n")) {
                return std::nullopt;
            }
            body += *data;
        }
        while (true) {
            const auto trailer = line();
            if (!trailer) {
                return std::nullopt;
            }
            if (trailer->empty()) {
                return framed_message{body, m_at};
            }
        }
    }

    std::string_view m_bytes;
    message_kind m_kind;
    std::size_t m_at = 0;
};

/** Draws messages whose framing is right, wrong, or anything between. */
class message_source
{
public:
    message_source(std::uint64_t seed, message_kind kind)
        : m_random(seed), m_kind(kind)
    {
    }

    std::string stream()
    {
        std::string bytes;
        for (std::uint64_t left = 1 + m_random.below(3); left > 0; --left) {
            bytes += message();
        }
        return bytes;
    }

private:
    std::string one_of(const std::vector<std::string>& texts)
    {
        return texts[m_random.below(texts.size())];
    }
    std::string first_line()
    {
        if (m_kind == message_kind::request) {
            return "POST /a HTTP/1.1\r\nHost: x\r\n";
        }
        return "HTTP/1.1 " +
               one_of(
                   {"200 OK", "200 OK", "503 Busy", "204 None", "304 Same"}) +
               "\r\n";
    }
    std::string message()
    {
        std::string head = first_line();
        const std::string data = "abc\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n";
        const std::string body = data.substr(0, m_random.below(data.size()));
        for (std::uint64_t left = m_random.below(3); left > 0; --left) {
            head += header(body) + end_of_line();
        }
        head += end_of_line();
        return head + (m_random.below(2) == 0 ? body : chunked(body));
    }
    std::string header(const std::string& body)
    {
        const std::string length = std::to_string(body.size());
        const std::string name =
            one_of({"Content-Length", "content-length", "Transfer-Encoding",
                    "transfer-encoding", "Transfer-Encoding ",
                    " Transfer-Encoding", "X", "Transfer_Encoding"});
        return name + one_of({":", ": ", ":\t", " : "}) +
               one_of({length,
                       length,
                       "chunked",
                       "chunked",
                       "Chunked",
                       "gzip",
                       "identity",
                       "chunked, chunked",
                       "gzip, chunked",
                       "chunked, gzip",
                       "chunked;q=1",
                       ",chunked",
                       "chunked,",
                       "x chunked",
                       "0" + length,
                       "+" + length,
                       "0x3",
                       length + ", " + length,
                       "",
                       "\"chunked\""}) +
               one_of({"", "", "", " ", "\t"});
    }
    std::string end_of_line()
    {
        return m_random.below(25) == 0 ? one_of({"\n", "\r", "\r\r\n", " \r\n"})
                                       : "\r\n";
    }
    std::string chunked(const std::string& body)
    {
        std::string bytes;
        for (std::size_t at = 0; at < body.size();) {
            const std::size_t size =
                std::min<std::size_t>(1 + m_random.below(8), body.size() - at);
            bytes += one_of({"", "", "0", "00"}) + std::to_string(size) +
                     one_of({"", "", ";a=b", " ", ";"}) + end_of_line() +
                     body.substr(at, size) + end_of_line();
            at += size;
        }
        return bytes + "0" + end_of_line() + one_of({"", "", "T: 1\r\n"}) +
               end_of_line();
    }

    seeded_random m_random;
    message_kind m_kind;
};

/**
 * Draws streams and reads their messages; each that is accepted must have the
 * body and the end that the strict reader finds. Returns how many were.
 */
template <bool IsRequest>
int read_drawn_streams()
{
    constexpr message_kind kind =
        IsRequest ? message_kind::request : message_kind::answer;
    int accepted = 0;
    const bool held = rc::check([&] {
        message_source source(*rc::gen::arbitrary<std::uint64_t>(), kind);
        for (int i = 0; i < fuzzed_streams / 100; ++i) {
            std::string bytes = source.stream();
            message_reader<IsRequest> reader(limits);
            read_state state = reader.feed(bytes);
            // The connection ends behind the last byte.
            state = IsRequest ? state : reader.feed_end();
            while (state == read_state::complete) {
                ++accepted;
                const auto strict = strict_reader(bytes, kind).read();
                const auto message = reader.take();
                const bool agreed =
                    strict && message.body() == strict->body &&
                    reader.kept_bytes() == bytes.size() - strict->end;
                if (!agreed) {
                    RC_FAIL("read as \"" + message.body() + "\": " + bytes);
                }
                bytes.erase(0, strict->end);
                state = reader.resume();
                state = IsRequest ? state : reader.feed_end();
            }
        }
    });
    CHECK(held);
    return accepted;
}

} // namespace

TEST_GROUP(message_framing){};

// UNASKED: a body whose framing was unknown ran as a request of its own.
TEST(message_framing, a_request_ends_where_a_strict_reader_ends_it)
{
    CHECK(read_drawn_streams<true>() > fuzzed_streams / 10);
}

// MIXED: bytes behind an answer must not become a part of it, or of the next.
TEST(message_framing, an_answer_ends_where_a_strict_reader_ends_it)
{
    CHECK(read_drawn_streams<false>() > fuzzed_streams / 10);
}
