#include "wire/head_check.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view version_prefix = "HTTP/1.";
constexpr std::size_t version_length = 8;
constexpr std::size_t status_length = 3;

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

bool is_token_byte(char c)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return is_digit(c) || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
           others.find(c) != std::string_view::npos;
}

/** Bytes beyond ASCII are allowed in values and reasons. */
bool is_text_byte(char c)
{
    return c == '\t' || (static_cast<unsigned char>(c) >= ' ' && c != '\x7f');
}

bool is_version(std::string_view text)
{
    return text.size() == version_length &&
           text.substr(0, version_prefix.size()) == version_prefix &&
           (text.back() == '0' || text.back() == '1');
}

bool is_field(std::string_view line)
{
    const std::size_t colon = line.find(':');
    return colon != std::string_view::npos && is_token(line.substr(0, colon)) &&
           is_field_value(line.substr(colon + 1));
}

/** Takes a line and its end off the text; nothing is taken if it has none. */
std::string_view take_line(std::string_view& text)
{
    const std::size_t end = text.find(line_end);
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? 0
                                                     : end + line_end.size());
    return line;
}

/** HTTP/1.1 200 OK; some servers send no blank where the reason is empty. */
bool is_status_line(std::string_view line)
{
    constexpr std::size_t status_at = version_length + 1;
    constexpr std::size_t reason_at = status_at + status_length + 1;
    if (line.size() < reason_at - 1 ||
        !is_version(line.substr(0, version_length)) ||
        line[version_length] != ' ') {
        return false;
    }
    const std::string_view status = line.substr(status_at, status_length);
    if (!std::all_of(status.begin(), status.end(), is_digit) ||
        status[0] < '1' || status[0] > '5') {
        return false;
    }
    return line.size() < reason_at || (line[reason_at - 1] == ' ' &&
                                       is_field_value(line.substr(reason_at)));
}

bool is_request_line(std::string_view line)
{
    const std::size_t target = line.find(' ');
    const std::size_t version = line.rfind(' ');
    return target != std::string_view::npos && target != version &&
           is_token(line.substr(0, target)) &&
           is_visible_text(line.substr(target + 1, version - target - 1)) &&
           is_version(line.substr(version + 1));
}

} // namespace

bool is_token(std::string_view text)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), is_token_byte);
}

bool is_field_value(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), is_text_byte);
}

bool is_visible_text(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return is_text_byte(c) && c != ' ' && c != '\t';
    });
}

bool are_proper_fields(std::string_view lines)
{
    while (!lines.empty()) {
        const std::size_t before = lines.size();
        const std::string_view line = take_line(lines);
        if (lines.size() == before || !is_field(line)) {
            return false;
        }
    }
    return true;
}

bool is_proper_answer_head(std::string_view head)
{
    const std::string_view first = take_line(head);
    return is_status_line(first) && are_proper_fields(head);
}

bool is_proper_request_head(std::string_view head)
{
    const std::string_view first = take_line(head);
    return is_request_line(first) && are_proper_fields(head);
}

} // namespace cranberrywood
