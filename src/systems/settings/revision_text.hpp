#ifndef CRANBERRYWOOD_SYSTEMS_SETTINGS_REVISION_TEXT_HPP
#define CRANBERRYWOOD_SYSTEMS_SETTINGS_REVISION_TEXT_HPP

#include "settings/published_value.hpp"

#include <optional>

namespace cranberrywood {

/**
 * Returns a published value as one text, the same for equal values: a line
 * `base BYTES` with the base after it, then for each overlay in the order of
 * the sites a line `overlay BYTES SITE` with its text. The revision number is
 * no part of it.
 */
std::string revision_text(const published_value& value);

/** Reads a text that revision_text wrote; nothing when it is none. */
std::optional<published_value> read_revision_text(std::string_view text,
                                                  revision_number revision);

/** Returns the digest that a revision_push carries. */
std::uint64_t revision_digest(std::string_view text);

} // namespace cranberrywood

#endif
