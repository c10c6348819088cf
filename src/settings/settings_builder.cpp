#include "settings/settings_builder.hpp"

#include "settings/shard_split.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

// Bounds the memory that a short value with a large plan can ask for.
constexpr std::size_t max_backend_servers = 100'000;

} // namespace

settings_builder::settings_builder(const merged_settings& merged,
                                   std::vector<settings_error>& errors)
    : m_merged(merged), m_errors(errors)
{
}

// Entities come before those that refer to them.
settings settings_builder::build()
{
    read_fleet();
    read_named(section_kind::data_centre, m_names.data_centres,
               m_settings.data_centres);
    read_named(section_kind::vm, m_vm_names, m_settings.vms);
    read_named(section_kind::service, m_names.services, m_settings.services);
    read_shards();
    read_backend_servers();
    read_named(section_kind::workspace, m_names.workspaces,
               m_settings.workspaces);
    read_rules();
    read_service_levels();
    return std::move(m_settings);
}

template <class Entity>
void settings_builder::read_fields(const merged_section& section,
                                   Entity& entity)
{
    for (const auto& set : section.fields) {
        const ini_field* field = set.field;
        const auto& keys = keys_of<Entity>();
        const auto spec =
            std::find_if(keys.begin(), keys.end(), [&](const auto& key) {
                return field->key == key.name;
            });
        const value_reader reader(field->value, spec->range, m_names);
        const auto why = std::visit(
            [&](auto member) { return reader(entity.*member); }, spec->field);
        if (why) {
            m_errors.push_back({*set.file, field->line,
                                heading_of(section.kind, section.name),
                                field->key, *why});
        }
    }
}

template <class Entity>
void settings_builder::require_fields(const merged_section& section)
{
    for (const auto& key : keys_of<Entity>()) {
        if (key.needed == presence::required &&
            section.find(key.name) == nullptr) {
            m_errors.push_back(m_merged.error_at(section.kind, section.name,
                                                 key.name,
                                                 "required key is missing"));
        }
    }
}

template <class Entity>
Entity settings_builder::read_entity(const merged_section& section)
{
    Entity entity;
    read_fields(section, entity);
    require_fields<Entity>(section);
    return entity;
}

template <class Entity>
void settings_builder::read_named(section_kind kind, known_names& known,
                                  std::vector<Entity>& out)
{
    for (const auto& section : m_merged.sections()) {
        if (section.kind != kind) {
            continue;
        }
        Entity entity = read_entity<Entity>(section);
        entity.name = section.name;
        entity.id = id_of<decltype(entity.id)>(section.name);
        add_name(section, entity.id.value(), known);
        out.push_back(std::move(entity));
    }
}

void settings_builder::add_name(const merged_section& section, std::uint64_t id,
                                known_names& known)
{
    if (const auto other = known.add(id, section.name)) {
        report(section, "its id collides with that of " + *other);
    }
}

void settings_builder::read_fleet()
{
    const merged_section* section = m_merged.find(section_kind::fleet, "");
    if (section == nullptr) {
        m_errors.push_back(m_merged.error_at(section_kind::fleet, "", "",
                                             "required section is missing"));
        return;
    }
    auto fleet = read_entity<fleet_section>(*section);
    m_settings.key_salt = std::move(fleet.key_salt);
    m_settings.fleet = static_cast<const fleet_settings&>(fleet);
}

void settings_builder::read_shards()
{
    for (const auto& section : m_merged.sections()) {
        if (section.kind == section_kind::shards) {
            read_plan(section);
        }
    }
    for (const auto& section : m_merged.sections()) {
        if (section.kind == section_kind::shard) {
            read_shard(section);
        }
    }
}

void settings_builder::read_plan(const merged_section& section)
{
    const std::size_t errors_before = m_errors.size();
    auto plan = read_entity<shard_plan>(section);
    plan.name = section.name;
    plan.service = id_of<service_id>(section.name);
    if (!m_names.services.has(plan.service.value())) {
        report(section, "no service is named " + section.name);
    }
    if (m_errors.size() != errors_before) {
        return;
    }
    const std::size_t added = std::size_t{plan.count} * plan.replicas;
    if (m_settings.backend_servers.size() + added > max_backend_servers) {
        report(section, "more than 100000 backend servers in all");
        return;
    }
    if (const auto why = check_plan(plan)) {
        report(section, *why);
        return;
    }
    for (auto& split : split_shards(plan)) {
        m_names.shards.add(split.shard.id.value(),
                           plan.name + '/' + split.shard.name);
        m_settings.shards.push_back(std::move(split.shard));
        for (auto& server : split.replicas) {
            m_planned.emplace(server.id, m_settings.backend_servers.size());
            m_backend_server_names.add(server.id.value(), server.name);
            m_settings.backend_servers.push_back(std::move(server));
        }
    }
}

void settings_builder::read_shard(const merged_section& section)
{
    auto shard = read_entity<shard_settings>(section);
    if (!is_shard_of_service(section)) {
        return;
    }
    const std::size_t slash = section.name.find('/');
    const std::string service = section.name.substr(0, slash);
    shard.name = section.name.substr(slash + 1);
    shard.service = id_of<service_id>(service);
    shard.id = shard_id_of(service, shard.name);
    if (m_names.shards.has(shard.id.value())) {
        report(section, "its service's [shards] has a shard of that name");
        return;
    }
    add_name(section, shard.id.value(), m_names.shards);
    m_settings.shards.push_back(std::move(shard));
}

bool settings_builder::is_shard_of_service(const merged_section& section)
{
    const std::size_t slash = section.name.find('/');
    if (slash == std::string::npos) {
        report(section, "name must be SERVICE/SHARD");
        return false;
    }
    const std::string service = section.name.substr(0, slash);
    if (!m_names.services.has(id_of<service_id>(service).value())) {
        report(section, "no service is named " + service);
        return false;
    }
    return true;
}

void settings_builder::read_backend_servers()
{
    for (const auto& section : m_merged.sections()) {
        if (section.kind == section_kind::backend_server) {
            read_backend_server(section);
        }
    }
}

// A section for a planned backend server changes single fields of it.
void settings_builder::read_backend_server(const merged_section& section)
{
    const auto id = id_of<backend_server_id>(section.name);
    const auto planned = m_planned.find(id);
    if (planned != m_planned.end()) {
        read_fields(section, m_settings.backend_servers[planned->second]);
        return;
    }
    auto server = read_entity<backend_server_settings>(section);
    server.name = section.name;
    server.id = id;
    add_name(section, id.value(), m_backend_server_names);
    if (const auto* shard = section.find("shard")) {
        const std::string& text = shard->field->value;
        server.service = id_of<service_id>(text.substr(0, text.find('/')));
    }
    m_settings.backend_servers.push_back(std::move(server));
}

void settings_builder::read_rules()
{
    for (const auto& section : m_merged.sections()) {
        if (section.kind == section_kind::rule) {
            m_settings.rules.push_back(read_entity<rule_settings>(section));
            m_settings.rules.back().name = section.name;
        }
    }
}

void settings_builder::read_service_levels()
{
    for (const auto& section : m_merged.sections()) {
        if (section.kind == section_kind::service_level) {
            m_settings.service_levels.push_back(
                read_entity<service_level_settings>(section));
            m_settings.service_levels.back().name = section.name;
        }
    }
}

void settings_builder::report(const merged_section& section, std::string why)
{
    m_errors.push_back(
        m_merged.error_at(section.kind, section.name, "", std::move(why)));
}

} // namespace cranberrywood
