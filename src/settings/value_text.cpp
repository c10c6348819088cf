#include "settings/value_text.hpp"

#include <arpa/inet.h>
#include <sodium.h>

#include <charconv>
#include <limits>

namespace cranberrywood {

namespace {

/** A suffix and how much of what the unit counts one of it is. */
struct suffix
{
    const char* text;
    std::uint64_t scale;
};

const std::vector<suffix>& suffixes_of(value_unit unit)
{
    static const std::vector<suffix> count = {{"", 1}};
    static const std::vector<suffix> time = {
        {"h", 3'600'000'000'000}, {"min", 60'000'000'000}, {"s", 1'000'000'000},
        {"ms", 1'000'000},        {"us", 1'000},           {"ns", 1}};
    static const std::vector<suffix> bytes = {
        {"MiB", 1U << 20U}, {"KiB", 1U << 10U}, {"B", 1}};
    static const std::vector<suffix> percent = {{"%", 1}};
    static const std::vector<suffix> ppm = {{"ppm", 1}};
    static const std::vector<suffix> share = {{"%", 10'000}};
    static const std::vector<suffix> rate = {{"/s", 1'000}};
    static const std::vector<suffix> milli = {{"", 1'000}};
    switch (unit) {
    case value_unit::count:
        return count;
    case value_unit::time:
        return time;
    case value_unit::bytes:
        return bytes;
    case value_unit::percent:
        return percent;
    case value_unit::ppm:
        return ppm;
    case value_unit::share:
        return share;
    case value_unit::rate:
        return rate;
    case value_unit::milli:
        return milli;
    }
    return count;
}

/** Multiplies and adds; nothing when the result does not fit. */
std::optional<std::uint64_t> scaled(std::uint64_t value, std::uint64_t scale,
                                    std::uint64_t more)
{
    std::uint64_t product = 0;
    std::uint64_t sum = 0;
    if (__builtin_mul_overflow(value, scale, &product) ||
        __builtin_add_overflow(product, more, &sum)) {
        return std::nullopt;
    }
    return sum;
}

bool is_digits(std::string_view text)
{
    return !text.empty() &&
           text.find_first_not_of("0123456789") == std::string_view::npos;
}

std::optional<std::uint64_t> read_digits(std::string_view text)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    if (!is_digits(text) || error != std::errc() || rest != end) {
        return std::nullopt;
    }
    return value;
}

/** Reads a decimal number times a scale; nothing when it is not exact. */
std::optional<std::uint64_t> read_scaled(std::string_view text,
                                         std::uint64_t scale)
{
    const std::size_t point = text.find('.');
    const auto whole = read_digits(text.substr(0, point));
    if (!whole) {
        return std::nullopt;
    }
    std::uint64_t fraction = 0;
    if (point != std::string_view::npos) {
        std::uint64_t place = scale;
        const std::string_view digits = text.substr(point + 1);
        if (!is_digits(digits)) {
            return std::nullopt;
        }
        for (const char digit : digits) {
            if (place % 10 != 0) {
                return std::nullopt;
            }
            place /= 10;
            fraction += place * static_cast<std::uint64_t>(digit - '0');
        }
    }
    return scaled(*whole, scale, fraction);
}

std::string trailing_zeros_cut(std::string digits)
{
    digits.erase(digits.find_last_not_of('0') + 1);
    return digits;
}

std::string decimal_text(std::uint64_t number, std::uint64_t scale)
{
    std::string text = std::to_string(number / scale);
    const std::uint64_t rest = number % scale;
    if (rest != 0) {
        // The leading one keeps the zeros after the point.
        text +=
            '.' + trailing_zeros_cut(std::to_string(scale + rest).substr(1));
    }
    return text;
}

} // namespace

number_result read_number(std::string_view text, const value_range& range)
{
    const std::size_t end = text.find_first_not_of("0123456789.");
    const std::string_view unit =
        end == std::string_view::npos ? std::string_view() : text.substr(end);
    for (const auto& known : suffixes_of(range.unit)) {
        if (unit != known.text) {
            continue;
        }
        const auto number = read_scaled(text.substr(0, end), known.scale);
        if (!number) {
            break;
        }
        if (*number < range.min || *number > range.max) {
            return "out of range, must be " +
                   number_text(range.min, range.unit) + " to " +
                   number_text(range.max, range.unit);
        }
        return *number;
    }
    return std::string("expected ") + unit_text(range.unit);
}

std::string number_text(std::uint64_t number, value_unit unit)
{
    const auto& suffixes = suffixes_of(unit);
    if (suffixes.size() == 1) {
        const suffix& only = suffixes.front();
        return decimal_text(number, only.scale) + only.text;
    }
    for (const auto& known : suffixes) {
        if (number != 0 && number % known.scale == 0) {
            return std::to_string(number / known.scale) + known.text;
        }
    }
    return std::to_string(number) + suffixes.back().text;
}

const char* unit_text(value_unit unit)
{
    switch (unit) {
    case value_unit::count:
        return "a whole number";
    case value_unit::time:
        return "a time with ns, us, ms, s, min or h";
    case value_unit::bytes:
        return "a size with B, KiB or MiB";
    case value_unit::percent:
        return "a whole number with %";
    case value_unit::ppm:
        return "a whole number with ppm";
    case value_unit::share:
        return "a number with %, of at most 4 decimals";
    case value_unit::rate:
        return "a number with /s, of at most 3 decimals";
    case value_unit::milli:
        return "a number of at most 3 decimals";
    }
    return "";
}

std::vector<std::string_view> split_list(std::string_view text)
{
    constexpr std::string_view separators = " \t,";
    std::vector<std::string_view> items;
    std::size_t at = text.find_first_not_of(separators);
    while (at != std::string_view::npos) {
        const std::size_t end = text.find_first_of(separators, at);
        items.push_back(text.substr(at, end - at));
        at = text.find_first_not_of(separators, end);
    }
    return items;
}

std::optional<key_digest> read_digest(std::string_view text)
{
    key_digest digest{};
    std::size_t length = 0;
    const char* end = nullptr;
    const int failed = sodium_hex2bin(digest.data(), digest.size(), text.data(),
                                      text.size(), nullptr, &length, &end);
    const bool whole = failed == 0 && end == text.data() + text.size();
    if (!whole || length != digest.size()) {
        return std::nullopt;
    }
    return digest;
}

std::string digest_text(const key_digest& digest)
{
    std::string text(digest.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
    text.pop_back();
    return text;
}

std::optional<key_range> read_key_range(std::string_view text)
{
    const std::size_t dash = text.find('-');
    if (dash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto first = read_digits(text.substr(0, dash));
    const auto last = read_digits(text.substr(dash + 1));
    // The count of all 64-bit keys has no 64-bit number.
    constexpr auto max_key = std::numeric_limits<std::uint64_t>::max() - 1;
    if (!first || !last || *first > *last || *last > max_key) {
        return std::nullopt;
    }
    return key_range{*first, *last};
}

bool is_ip_number(const std::string& text)
{
    in6_addr address{};
    return inet_pton(AF_INET, text.c_str(), &address) == 1 ||
           inet_pton(AF_INET6, text.c_str(), &address) == 1;
}

} // namespace cranberrywood
