#ifndef CRANBERRYWOOD_SETTINGS_MERGED_SETTINGS_HPP
#define CRANBERRYWOOD_SETTINGS_MERGED_SETTINGS_HPP

#include "settings/ini_document.hpp"
#include "settings/key_description.hpp"

#include <unordered_map>

namespace cranberrywood {

/** A field and the file that set it last. */
struct merged_field
{
    const ini_field* field = nullptr;
    const std::string* file = nullptr;
};

struct merged_section
{
    section_kind kind = section_kind::fleet;
    std::string name;
    /** File and line of the heading that came first. */
    const std::string* file = nullptr;
    std::uint32_t line = 0;
    std::vector<merged_field> fields;

    /** Returns the field of a key, or null when none is set. */
    const merged_field* find(std::string_view key) const;
};

/**
 * Sections of the base file with overlays laid over them field by field, each
 * field with its origin. Refers to the documents, which must outlive it.
 */
class merged_settings
{
public:
    /** Takes the base file; unknown keys go to errors and are left out. */
    merged_settings(const ini_document& base,
                    std::vector<settings_error>& errors);

    /** Sets those fields of an overlay whose keys have the given use. */
    void lay_over(const ini_document& overlay, overlay_use use);

    /** Returns all sections in the order of their first headings. */
    const std::vector<merged_section>& sections() const
    {
        return m_sections;
    }
    /** Returns a section, or null when there is none. */
    const merged_section* find(section_kind kind, std::string_view name) const;

    /**
     * Returns an error that stands at a key of a section, at its heading
     * when the key is not set, and in line 1 of the base when neither is.
     */
    settings_error error_at(section_kind kind, std::string_view name,
                            std::string key, std::string why) const;

private:
    merged_section& section_for(const ini_section& section,
                                const std::string& file);

    const std::string* m_base_file;
    std::vector<merged_section> m_sections;
    std::unordered_map<std::string, std::size_t> m_positions;
};

} // namespace cranberrywood

#endif
