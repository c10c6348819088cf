#include "settings/settings_reader.hpp"

#include "settings/overlay_check.hpp"
#include "settings/settings_builder.hpp"
#include "settings/settings_check.hpp"

#include <set>

namespace cranberrywood {

namespace {

/** Documents of one published value. */
struct value_documents
{
    ini_document base;
    std::map<std::string, ini_document> overlays;
};

void check_size(const published_value& value,
                std::vector<settings_error>& errors)
{
    std::size_t bytes = value.base.size();
    for (const auto& overlay : value.overlays) {
        bytes += overlay.site.size() + overlay.text.size();
    }
    if (bytes > max_value_bytes) {
        errors.push_back({base_file_name, 1, "", "",
                          "value of " + std::to_string(bytes) +
                              " bytes is larger than 1048576 bytes"});
    }
}

value_documents read_documents(const published_value& value,
                               std::vector<settings_error>& errors)
{
    value_documents documents;
    documents.base = read_ini(base_file_name, value.base, errors);
    for (const auto& overlay : value.overlays) {
        const std::string file = overlay_file_name(overlay.site);
        if (documents.overlays.count(overlay.site) != 0) {
            errors.push_back({file, 1, "", "", "site has two overlays"});
            continue;
        }
        documents.overlays.emplace(overlay.site,
                                   read_ini(file, overlay.text, errors));
    }
    return documents;
}

std::set<std::string> sites_of(const settings& fleet)
{
    std::set<std::string> sites;
    for (const auto& centre : fleet.data_centres) {
        sites.insert(centre.site);
    }
    return sites;
}

merged_settings merged_for(const merged_settings& base,
                           const value_documents& documents,
                           const std::string& site)
{
    merged_settings merged = base;
    for (const auto& [owner, overlay] : documents.overlays) {
        merged.lay_over(overlay, overlay_use::own_site);
    }
    const auto own = documents.overlays.find(site);
    if (own != documents.overlays.end()) {
        merged.lay_over(own->second, overlay_use::per_site);
    }
    return merged;
}

settings build_checked(const merged_settings& merged,
                       std::vector<settings_error>& errors)
{
    settings built = settings_builder(merged, errors).build();
    check_settings(built, merged, errors);
    return built;
}

void check_overlays(const value_documents& documents,
                    const merged_settings& base, const settings_index& fleet,
                    std::vector<settings_error>& errors)
{
    const std::set<std::string> sites = sites_of(fleet.all());
    for (const auto& [site, overlay] : documents.overlays) {
        if (sites.count(site) == 0) {
            errors.push_back({overlay.file, 1, "", "",
                              "no data centre has the site " + site});
        }
        check_overlay(overlay, site, base, fleet, errors);
    }
}

void add_keys(const merged_section& section,
              std::vector<effective_field>& fields)
{
    const std::string heading = heading_of(section.kind, section.name);
    for (const auto& key : all_keys()) {
        if (key.section != section.kind) {
            continue;
        }
        const merged_field* set = section.find(key.name);
        if (set != nullptr) {
            fields.push_back(
                {heading, key.name, set->field->value,
                 *set->file + ':' + std::to_string(set->field->line)});
        } else if (!key.default_text.empty()) {
            fields.push_back({heading, key.name, key.default_text, "default"});
        }
    }
}

} // namespace

std::string overlay_file_name(const std::string& site)
{
    return "overlays/" + site + ".ini";
}

std::shared_ptr<const settings_index>
accepted_settings::of_site(const std::string& s) const
{
    const auto found = sites.find(s);
    return found == sites.end() ? nullptr : found->second;
}

settings_result read_settings(const published_value& value)
{
    std::vector<settings_error> errors;
    check_size(value, errors);
    if (!errors.empty()) {
        return errors;
    }
    const value_documents documents = read_documents(value, errors);
    const merged_settings base(documents.base, errors);
    const settings_index fleet(build_checked(base, errors));
    check_overlays(documents, base, fleet, errors);
    accepted_settings accepted;
    accepted.revision = value.revision;
    for (const auto& site : sites_of(fleet.all())) {
        const merged_settings merged = merged_for(base, documents, site);
        settings built = build_checked(merged, errors);
        built.revision = value.revision;
        built.site = site;
        accepted.sites.emplace(
            site, std::make_shared<const settings_index>(std::move(built)));
    }
    if (!errors.empty()) {
        tidy(errors);
        return errors;
    }
    return accepted;
}

std::vector<effective_field> effective_fields(const published_value& value,
                                              const std::string& site)
{
    std::vector<settings_error> errors;
    const value_documents documents = read_documents(value, errors);
    const merged_settings base(documents.base, errors);
    const merged_settings merged = merged_for(base, documents, site);
    std::vector<effective_field> fields;
    for (const auto& section : merged.sections()) {
        add_keys(section, fields);
    }
    return fields;
}

} // namespace cranberrywood
