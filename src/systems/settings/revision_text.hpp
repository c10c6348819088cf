#ifndef CRANBERRYWOOD_SYSTEMS_SETTINGS_REVISION_TEXT_HPP
#define CRANBERRYWOOD_SYSTEMS_SETTINGS_REVISION_TEXT_HPP

#include "settings/published_value.hpp"

#include <optional>

namespace cranberrywood {

/**
 * Serialises a published value; equal values give equal texts. The text is a
 * line `base BYTES` followed by the base, then for each overlay, sorted by
 * site, a line `overlay BYTES SITE` followed by its text. The revision number
 * is not included.
 */
std::string revision_text(const published_value& value);

/** Parses a text of revision_text; returns nothing when it is malformed. */
std::optional<published_value> read_revision_text(std::string_view text,
                                                  revision_number revision);

/** Returns the digest that a revision_push carries. */
std::uint64_t revision_digest(std::string_view text);

} // namespace cranberrywood

#endif
