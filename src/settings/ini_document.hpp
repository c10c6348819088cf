#ifndef CRANBERRYWOOD_SETTINGS_INI_DOCUMENT_HPP
#define CRANBERRYWOOD_SETTINGS_INI_DOCUMENT_HPP

#include "settings/section_kind.hpp"
#include "settings/settings_error.hpp"

#include <string_view>

namespace cranberrywood {

/** One `key = value` of a settings file; list values are joined by spaces. */
struct ini_field
{
    std::string key;
    std::string value;
    std::uint32_t line = 0;
};

struct ini_section
{
    section_kind kind = section_kind::fleet;
    std::string name;
    std::uint32_t line = 0;
    std::vector<ini_field> fields;
};

/** Sections of one settings file, each at most once, in their order. */
struct ini_document
{
    std::string file;
    std::vector<ini_section> sections;
};

/**
 * Reads a settings file and adds what is wrong with its form to errors:
 * bytes, lines, unknown or duplicated sections, duplicated keys. What is
 * well-formed is returned in any case.
 */
ini_document read_ini(std::string file, std::string_view text,
                      std::vector<settings_error>& errors);

} // namespace cranberrywood

#endif
