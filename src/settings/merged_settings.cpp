#include "settings/merged_settings.hpp"

namespace cranberrywood {

namespace {

void set_field(merged_section& section, merged_field field)
{
    for (auto& present : section.fields) {
        if (present.field->key == field.field->key) {
            present = field;
            return;
        }
    }
    section.fields.push_back(field);
}

bool has_use(const ini_section& section, const ini_field& field,
             overlay_use use)
{
    const key_description* key = find_key(section.kind, field.key);
    return key != nullptr && key->overlay == use;
}

} // namespace

const merged_field* merged_section::find(std::string_view key) const
{
    for (const auto& field : fields) {
        if (field.field->key == key) {
            return &field;
        }
    }
    return nullptr;
}

merged_settings::merged_settings(const ini_document& base,
                                 std::vector<settings_error>& errors)
    : m_base_file(&base.file)
{
    m_sections.reserve(base.sections.size());
    for (const auto& section : base.sections) {
        merged_section& merged = section_for(section, base.file);
        for (const auto& field : section.fields) {
            if (find_key(section.kind, field.key) == nullptr) {
                errors.push_back({base.file, field.line,
                                  heading_of(section.kind, section.name),
                                  field.key, "unknown key"});
                continue;
            }
            merged.fields.push_back({&field, &base.file});
        }
    }
}

void merged_settings::lay_over(const ini_document& overlay, overlay_use use)
{
    for (const auto& section : overlay.sections) {
        for (const auto& field : section.fields) {
            if (has_use(section, field, use)) {
                set_field(section_for(section, overlay.file),
                          {&field, &overlay.file});
            }
        }
    }
}

const merged_section* merged_settings::find(section_kind kind,
                                            std::string_view name) const
{
    const auto found = m_positions.find(heading_of(kind, name));
    return found == m_positions.end() ? nullptr : &m_sections[found->second];
}

settings_error merged_settings::error_at(section_kind kind,
                                         std::string_view name, std::string key,
                                         std::string why) const
{
    settings_error error{*m_base_file, 1, heading_of(kind, name),
                         std::move(key), std::move(why)};
    const merged_section* section = find(kind, name);
    if (section == nullptr) {
        return error;
    }
    error.file = *section->file;
    error.line = section->line;
    if (const merged_field* field = section->find(error.key)) {
        error.file = *field->file;
        error.line = field->field->line;
    }
    return error;
}

merged_section& merged_settings::section_for(const ini_section& section,
                                             const std::string& file)
{
    const auto [found, added] = m_positions.try_emplace(
        heading_of(section.kind, section.name), m_sections.size());
    if (added) {
        m_sections.push_back(
            {section.kind, section.name, &file, section.line, {}});
    }
    return m_sections[found->second];
}

} // namespace cranberrywood
