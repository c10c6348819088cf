#ifndef CRANBERRYWOOD_SYSTEMS_SETTINGS_KEY_CHECK_HPP
#define CRANBERRYWOOD_SYSTEMS_SETTINGS_KEY_CHECK_HPP

#include "settings/settings.hpp"

#include <optional>

namespace cranberrywood {

/** Returns the salted digest of a key, as stored in the settings. */
key_digest digest_of(std::string_view salt, std::string_view key);

/** Finds the workspace of a digest, comparing as workspace_of_key does. */
std::optional<workspace_id> workspace_of_digest(const settings_index& settings,
                                                const key_digest& presented);

/**
 * Finds the workspace of a caller's key. To reveal nothing by its timing, it
 * compares the digest with all stored ones, each in constant time.
 */
std::optional<workspace_id> workspace_of_key(const settings_index& settings,
                                             std::string_view key);

} // namespace cranberrywood

#endif
