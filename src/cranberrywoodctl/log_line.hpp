#ifndef CRANBERRYWOOD_CRANBERRYWOODCTL_LOG_LINE_HPP
#define CRANBERRYWOOD_CRANBERRYWOODCTL_LOG_LINE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cranberrywood::ctl {

/** One event of a VM's log. */
struct log_line
{
    /** UTC, `2026-09-07T16:02:22.551474Z`; sorts as text. */
    std::string time;
    std::string vm;
    std::uint32_t code = 0;
    /** Keys and values, without the quotes of a quoted value. */
    std::vector<std::pair<std::string, std::string>> fields;

    /** Returns the value of a field; none if the event has no such field. */
    std::optional<std::string> field(const std::string& key) const;
};

/**
 * Reads one line of a log. Text before the time, such as a prefix that a log
 * collector adds, is passed over. Returns none if it is no event.
 */
std::optional<log_line> read_log_line(const std::string& text);

} // namespace cranberrywood::ctl

#endif
