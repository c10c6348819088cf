#ifndef CRANBERRYWOOD_CORE_LOG_TEXT_HPP
#define CRANBERRYWOOD_CORE_LOG_TEXT_HPP

#include <string>
#include <string_view>

namespace cranberrywood {

/**
 * Returns text from outside as the value of one log field: quoted if it has
 * anything but plain visible bytes, other bytes as `\xHH`, a long text cut.
 */
std::string log_text(std::string_view text);

/** Returns a line of the log without bytes that would end or hide it. */
std::string log_line_text(std::string_view line);

} // namespace cranberrywood

#endif
