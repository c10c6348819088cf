#ifndef CRANBERRYWOOD_SYSTEMS_SETTINGS_REVISION_DELTA_HPP
#define CRANBERRYWOOD_SYSTEMS_SETTINGS_REVISION_DELTA_HPP

#include <optional>
#include <string>
#include <string_view>

/**
 * Line-based deltas between two texts. A delta is a sequence of operations:
 * `=FIRST COUNT` copies COUNT lines of the old text from line FIRST on,
 * counted from zero; `+COUNT` inserts the COUNT lines that follow it. Line
 * feeds separate lines: the text after the last one is a line, even if empty.
 */
namespace cranberrywood {

/** Returns a delta that turns the old text into the new one. */
std::string make_delta(std::string_view old_text, std::string_view new_text);

/**
 * Applies a delta. Returns nothing when it is malformed, copies lines that the
 * old text does not have, or produces a text larger than max_bytes.
 */
std::optional<std::string> apply_delta(std::string_view old_text,
                                       std::string_view delta,
                                       std::size_t max_bytes);

} // namespace cranberrywood

#endif
