#ifndef CRANBERRYWOOD_SETTINGS_PROCESS_FILE_HPP
#define CRANBERRYWOOD_SETTINGS_PROCESS_FILE_HPP

#include "units/endpoint.hpp"

#include <charconv>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

/** Reading of the settings file of one process. */
namespace cranberrywood {

/** Takes the text of a value; returns what is wrong with it, else nothing. */
using value_taker = std::function<std::string(const std::string& value)>;
/** Takes a key of its own choice and its value. */
using entry_taker = std::function<std::string(const std::string& key,
                                              const std::string& value)>;

/** The keys of a settings file, by `section.key`, and how each is read. */
struct process_file_keys
{
    std::map<std::string, value_taker> required;
    std::map<std::string, value_taker> optional;
    /** Sections whose keys are names. */
    std::map<std::string, entry_taker> open_sections;
};

/** Mistakes in a settings file, each as `line: section.key: reason`. */
using process_file_errors = std::vector<std::string>;

/** Reads a file's text; each value is taken by its reader. */
process_file_errors read_process_file(const std::string& text,
                                      const process_file_keys& keys);

constexpr std::uint32_t max_port = 65535;

/** Reads a number in [1, limit]; returns the error, else nothing. */
template <class Number>
std::string take_number(const std::string& value, std::uint32_t limit,
                        Number& to)
{
    std::uint32_t number = 0;
    const char* end = value.data() + value.size();
    const auto read = std::from_chars(value.data(), end, number);
    if (read.ec != std::errc() || read.ptr != end || number == 0 ||
        number > limit) {
        return "must be a number from 1 to " + std::to_string(limit);
    }
    to = static_cast<Number>(number);
    return {};
}

/**
 * Reads a decimal number in [0, limit]; returns the error, else nothing. A
 * deployment may state fractions and zero.
 */
std::string take_decimal(const std::string& value, double limit, double& to);

std::string take_host(const std::string& value, std::string& to);
std::string take_name(const std::string& value, std::string& to);
std::string take_endpoint(const std::string& value, endpoint& to);

/** Reads `host:port`; the host must be an IP number. */
std::variant<endpoint, std::string> read_endpoint(const std::string& text);

} // namespace cranberrywood

#endif
