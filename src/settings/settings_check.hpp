#ifndef CRANBERRYWOOD_SETTINGS_SETTINGS_CHECK_HPP
#define CRANBERRYWOOD_SETTINGS_SETTINGS_CHECK_HPP

#include "settings/merged_settings.hpp"

namespace cranberrywood {

/**
 * Checks what no single value shows: timers that depend on each other, shard
 * keys without gaps, addresses and keys that stand twice, rules that would
 * have no effect. Adds what is wrong to errors.
 */
void check_settings(const settings& checked, const merged_settings& merged,
                    std::vector<settings_error>& errors);

} // namespace cranberrywood

#endif
