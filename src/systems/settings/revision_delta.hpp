#ifndef CRANBERRYWOOD_SYSTEMS_SETTINGS_REVISION_DELTA_HPP
#define CRANBERRYWOOD_SYSTEMS_SETTINGS_REVISION_DELTA_HPP

#include <optional>
#include <string>
#include <string_view>

/**
 * Deltas between two texts, by lines. A delta is a sequence of steps:
 * `=FIRST COUNT` copies COUNT lines of the old text from line FIRST on,
 * counted from zero; `+COUNT` is followed by COUNT lines that are new. A line
 * ends at each line feed; what follows the last one is a line, too.
 */
namespace cranberrywood {

/** Returns a delta that turns the old text into the new one. */
std::string make_delta(std::string_view old_text, std::string_view new_text);

/**
 * Applies a delta. Returns nothing when it is malformed, names lines that the
 * old text does not have, or makes a text larger than max_bytes.
 */
std::optional<std::string> apply_delta(std::string_view old_text,
                                       std::string_view delta,
                                       std::size_t max_bytes);

} // namespace cranberrywood

#endif
