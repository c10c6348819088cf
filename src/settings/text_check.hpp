#ifndef CRANBERRYWOOD_SETTINGS_TEXT_CHECK_HPP
#define CRANBERRYWOOD_SETTINGS_TEXT_CHECK_HPP

#include <string_view>

namespace cranberrywood {

/** Returns whether the bytes are well-formed UTF-8 (RFC 3629). */
bool is_utf8(std::string_view bytes);

/** Returns whether the bytes have control characters other than tabs. */
bool has_control_characters(std::string_view bytes);

} // namespace cranberrywood

#endif
