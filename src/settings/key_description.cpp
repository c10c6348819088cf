#include "settings/key_description.hpp"

#include <map>

namespace cranberrywood {

namespace {

/** Describes the type of a member and prints its default. */
struct member_describer
{
    const value_range& range;
    std::string type;
    std::string default_text;

    void number(std::uint64_t value)
    {
        type = unit_text(range.unit);
        default_text = number_text(value, range.unit);
    }
    void operator()(const duration& value)
    {
        number(static_cast<std::uint64_t>(value.count()));
    }
    void operator()(std::uint16_t value)
    {
        number(value);
    }
    void operator()(std::uint32_t value)
    {
        number(value);
    }
    void operator()(std::uint64_t value)
    {
        number(value);
    }
    void operator()(index_version value)
    {
        number(value.value());
    }
    void operator()(shard_map_version value)
    {
        number(value.value());
    }
    void operator()(bool value)
    {
        type = "true or false";
        default_text = value ? "true" : "false";
    }
    void operator()(rule_effect /*value*/)
    {
        type = "refuse, keep_within or leave_out";
    }
    void operator()(const std::string& /*value*/)
    {
        type = "text";
    }
    void operator()(const key_range& /*value*/)
    {
        type = "first-last";
    }
    void operator()(data_centre_id /*value*/)
    {
        type = "a data centre";
    }
    void operator()(service_id /*value*/)
    {
        type = "a service";
    }
    void operator()(shard_id /*value*/)
    {
        type = "a shard";
    }
    void operator()(const std::vector<data_centre_id>& /*value*/)
    {
        type = "data centres";
    }
    void operator()(const std::vector<service_id>& /*value*/)
    {
        type = "services";
    }
    void operator()(const std::vector<workspace_id>& /*value*/)
    {
        type = "workspaces";
    }
    void operator()(const std::vector<shard_id>& /*value*/)
    {
        type = "shards";
    }
    void operator()(const std::vector<key_digest>& /*value*/)
    {
        type = "digests of 64 hexadecimal digits";
    }
    void operator()(const std::vector<std::string>& /*value*/)
    {
        type = "list of texts";
    }
};

std::string range_text(const value_range& range)
{
    if (range.max == 0) {
        return {};
    }
    return number_text(range.min, range.unit) + " to " +
           number_text(range.max, range.unit);
}

template <class Entity>
void describe(section_kind section, std::vector<key_description>& all)
{
    const Entity defaults{};
    for (const auto& spec : keys_of<Entity>()) {
        member_describer describer{spec.range, {}, {}};
        std::visit([&](auto member) { describer(defaults.*member); },
                   spec.field);
        if (spec.needed == presence::required) {
            describer.default_text.clear();
        }
        all.push_back({section, spec.name, describer.type,
                       describer.default_text, range_text(spec.range),
                       spec.needed, spec.overlay, spec.meaning});
    }
}

const char* overlay_text(overlay_use use)
{
    switch (use) {
    case overlay_use::base_only:
        return "no";
    case overlay_use::own_site:
        return "own site's";
    case overlay_use::per_site:
        return "yes";
    }
    return "";
}

std::string default_cell(const key_description& key)
{
    if (key.needed == presence::required) {
        return "required";
    }
    return key.default_text.empty() ? "none" : '`' + key.default_text + '`';
}

} // namespace

const std::vector<key_description>& all_keys()
{
    static const std::vector<key_description> keys = [] {
        std::vector<key_description> all;
        describe<fleet_section>(section_kind::fleet, all);
        describe<data_centre_settings>(section_kind::data_centre, all);
        describe<vm_settings>(section_kind::vm, all);
        describe<service_settings>(section_kind::service, all);
        describe<shard_plan>(section_kind::shards, all);
        describe<shard_settings>(section_kind::shard, all);
        describe<backend_server_settings>(section_kind::backend_server, all);
        describe<workspace_settings>(section_kind::workspace, all);
        describe<rule_settings>(section_kind::rule, all);
        describe<service_level_settings>(section_kind::service_level, all);
        return all;
    }();
    return keys;
}

const key_description* find_key(section_kind section, std::string_view name)
{
    for (const auto& key : all_keys()) {
        if (key.section == section && key.name == name) {
            return &key;
        }
    }
    return nullptr;
}

std::string settings_reference()
{
    static const std::map<section_kind, const char*> names = {
        {section_kind::fleet, ""},
        {section_kind::shards, " SERVICE"},
        {section_kind::shard, " SERVICE/NAME"}};
    std::string text;
    std::string heading;
    for (const auto& key : all_keys()) {
        const auto named = names.find(key.section);
        const std::string section =
            std::string(name_of(key.section)) +
            (named == names.end() ? " NAME" : named->second);
        if (section != heading) {
            heading = section;
            text += "\n### `[" + heading + "]`\n\n";
            text += "| Key | Value | Default | Range | Overlay | Meaning |\n";
            text += "| --- | --- | --- | --- | --- | --- |\n";
        }
        text += "| `" + key.name + "` | " + key.type + " | " +
                default_cell(key) + " | " + key.range + " | " +
                overlay_text(key.overlay) + " | " + key.meaning + " |\n";
    }
    return text;
}

} // namespace cranberrywood
