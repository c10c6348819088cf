#ifndef CRANBERRYWOOD_SETTINGS_VALUE_TEXT_HPP
#define CRANBERRYWOOD_SETTINGS_VALUE_TEXT_HPP

#include "settings/settings.hpp"

#include <optional>
#include <string_view>
#include <variant>

/** Text forms of single values: numbers with units, addresses, digests. */
namespace cranberrywood {

/** Unit that a number must carry, and what the number counts. */
enum class value_unit : std::uint8_t
{
    /** No unit: `25`. */
    count,
    /** `250us`, `6ms`, `1.5s`, `5min`, `1h`; in nanoseconds. */
    time,
    /** `512B`, `64KiB`, `1MiB`; in bytes. */
    bytes,
    /** `5%`; in hundredths. */
    percent,
    /** `1000ppm`; in millionths. */
    ppm,
    /** `99.9%`; in millionths. */
    share,
    /** `2.5/s`; in thousandths per second. */
    rate,
    /** `2.5`, a count that may have decimals; in thousandths. */
    milli,
};

/** Inclusive range of a number, in what its unit counts. */
struct value_range
{
    value_unit unit = value_unit::count;
    std::uint64_t min = 0;
    std::uint64_t max = 0;
};

/** Result of reading a value: the number, or why it is none. */
using number_result = std::variant<std::uint64_t, std::string>;

/** Reads a number with its unit and checks its range. */
number_result read_number(std::string_view text, const value_range& range);

/** Returns a number in the shortest form that read_number takes. */
std::string number_text(std::uint64_t number, value_unit unit);

/** Returns how values of a unit are written, for people. */
const char* unit_text(value_unit unit);

/** Splits a list at blanks and commas. */
std::vector<std::string_view> split_list(std::string_view text);

/** Reads 64 hexadecimal digits. */
std::optional<key_digest> read_digest(std::string_view text);

/** Returns a digest as 64 hexadecimal digits. */
std::string digest_text(const key_digest& digest);

/** Reads `first-last`, both included. */
std::optional<key_range> read_key_range(std::string_view text);

/** Returns whether the text is a numeric IPv4 or IPv6 address. */
bool is_ip_number(const std::string& text);

} // namespace cranberrywood

#endif
