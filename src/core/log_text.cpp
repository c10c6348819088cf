#include "core/log_text.hpp"

#include <algorithm>
#include <sodium.h>

namespace cranberrywood {

namespace {

/** Longest text that is logged in full; keys of the store have 200 bytes. */
constexpr std::size_t max_text = 256;

bool is_visible(char c)
{
    return c > ' ' && c <= '~';
}

bool is_plain(char c)
{
    return is_visible(c) && c != '"' && c != '\\' && c != '=';
}

std::string escaped(char c)
{
    char digits[3];
    const auto byte = static_cast<unsigned char>(c);
    sodium_bin2hex(digits, sizeof digits, &byte, 1);
    return std::string("\\x") + digits;
}

} // namespace

std::string log_text(std::string_view text)
{
    const std::string_view kept = text.substr(0, max_text);
    const bool plain = !kept.empty() && kept.size() == text.size() &&
                       std::all_of(kept.begin(), kept.end(), is_plain);
    if (plain) {
        return std::string(kept);
    }
    std::string value = "\"";
    for (const char c : kept) {
        const bool as_is = c == ' ' || c == '=' || is_plain(c);
        value += as_is ? std::string(1, c) : escaped(c);
    }
    value += kept.size() < text.size() ? "...\"" : "\"";
    return value;
}

std::string log_line_text(std::string_view line)
{
    std::string text;
    text.reserve(line.size());
    for (const char c : line) {
        const bool as_is = c == ' ' || is_visible(c);
        text += as_is ? std::string(1, c) : escaped(c);
    }
    return text;
}

} // namespace cranberrywood
