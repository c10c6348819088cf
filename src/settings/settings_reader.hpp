#ifndef CRANBERRYWOOD_SETTINGS_SETTINGS_READER_HPP
#define CRANBERRYWOOD_SETTINGS_SETTINGS_READER_HPP

#include "settings/published_value.hpp"
#include "settings/settings.hpp"
#include "settings/settings_error.hpp"

#include <map>
#include <memory>
#include <variant>

namespace cranberrywood {

/** Largest published value, base and overlays together. */
constexpr std::size_t max_value_bytes = 1'048'576;

/** Name of the base file in errors and origins. */
constexpr const char* base_file_name = "base.ini";

/** Returns the name of a site's overlay in errors and origins. */
std::string overlay_file_name(const std::string& site);

/** Effective settings of every site, of one published value. */
struct accepted_settings
{
    revision_number revision;
    std::map<std::string, std::shared_ptr<const settings_index>> sites;

    /** Returns a site's settings, or null when no data centre is there. */
    std::shared_ptr<const settings_index> of_site(const std::string& s) const;
};

/** A published value is accepted whole or refused with all its mistakes. */
using settings_result =
    std::variant<accepted_settings, std::vector<settings_error>>;

/**
 * Reads and checks the base and all overlays of a published value. Equal
 * values give equal results on every VM.
 */
settings_result read_settings(const published_value& value);

/** One field of a site's effective settings. */
struct effective_field
{
    std::string section;
    std::string key;
    std::string value;
    /** `file:line` that set it, or `default`. */
    std::string origin;
};

/**
 * Returns a site's effective fields in the order of the base file, defaults
 * included. The value must be one that read_settings accepts.
 */
std::vector<effective_field> effective_fields(const published_value& value,
                                              const std::string& site);

} // namespace cranberrywood

#endif
