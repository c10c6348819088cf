#ifndef CRANBERRYWOOD_SETTINGS_KEY_DESCRIPTION_HPP
#define CRANBERRYWOOD_SETTINGS_KEY_DESCRIPTION_HPP

#include "settings/section_keys.hpp"

namespace cranberrywood {

/** One key as text, without the type of its entity. */
struct key_description
{
    section_kind section = section_kind::fleet;
    std::string name;
    std::string type;
    /** Text of the default; empty when the key has none. */
    std::string default_text;
    /** Text of the range; empty when the key has none. */
    std::string range;
    presence needed = presence::optional;
    overlay_use overlay = overlay_use::base_only;
    std::string meaning;
};

/** Returns all keys, by section in the order of their tables. */
const std::vector<key_description>& all_keys();

/** Returns a key's description, or null when there is no such key. */
const key_description* find_key(section_kind section, std::string_view name);

/** Returns the tables of all keys as Markdown, as docs/OPERATING.md has it. */
std::string settings_reference();

} // namespace cranberrywood

#endif
