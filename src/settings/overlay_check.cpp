#include "settings/overlay_check.hpp"

namespace cranberrywood {

namespace {

std::string site_of(const data_centre_settings* centre)
{
    return centre == nullptr ? std::string() : centre->site;
}

/** Returns the site that a section's entity stands at, if it stands at one. */
std::string site_of(const ini_section& section, const settings_index& fleet)
{
    if (section.kind == section_kind::data_centre) {
        return site_of(fleet.find(id_of<data_centre_id>(section.name)));
    }
    const auto* server = fleet.find(id_of<backend_server_id>(section.name));
    if (section.kind != section_kind::backend_server || server == nullptr) {
        return {};
    }
    return site_of(fleet.find(server->data_centre));
}

bool may_be_added(section_kind kind)
{
    return kind == section_kind::rule || kind == section_kind::service_level;
}

bool in_base(const ini_section& section, const merged_settings& base,
             const settings_index& fleet)
{
    return base.find(section.kind, section.name) != nullptr ||
           (section.kind == section_kind::backend_server &&
            fleet.find(id_of<backend_server_id>(section.name)) != nullptr);
}

/** Returns why an overlay may not set a field, if it may not. */
std::optional<std::string> refusal_of(const ini_section& section,
                                      const ini_field& field,
                                      const std::string& site,
                                      const settings_index& fleet)
{
    const key_description* key = find_key(section.kind, field.key);
    if (key == nullptr) {
        return "unknown key";
    }
    if (key->overlay == overlay_use::base_only) {
        return "holds for the whole fleet; only the base file may set it";
    }
    if (key->overlay == overlay_use::own_site &&
        site_of(section, fleet) != site) {
        return "stands at another site than " + site;
    }
    return std::nullopt;
}

} // namespace

void check_overlay(const ini_document& overlay, const std::string& site,
                   const merged_settings& base, const settings_index& fleet,
                   std::vector<settings_error>& errors)
{
    for (const auto& section : overlay.sections) {
        const std::string heading = heading_of(section.kind, section.name);
        if (!may_be_added(section.kind) && !in_base(section, base, fleet)) {
            errors.push_back({overlay.file, section.line, heading, "",
                              "the base file has no such section"});
            continue;
        }
        for (const auto& field : section.fields) {
            if (const auto why = refusal_of(section, field, site, fleet)) {
                errors.push_back(
                    {overlay.file, field.line, heading, field.key, *why});
            }
        }
    }
}

} // namespace cranberrywood
