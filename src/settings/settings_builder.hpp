#ifndef CRANBERRYWOOD_SETTINGS_SETTINGS_BUILDER_HPP
#define CRANBERRYWOOD_SETTINGS_SETTINGS_BUILDER_HPP

#include "settings/merged_settings.hpp"
#include "settings/value_reader.hpp"

namespace cranberrywood {

/**
 * Turns merged sections into typed settings. Reports values that cannot be
 * read, names that do not exist and required keys that are missing.
 */
class settings_builder
{
public:
    settings_builder(const merged_settings& merged,
                     std::vector<settings_error>& errors);

    /** Returns the settings; call it once. */
    settings build();

private:
    template <class Entity>
    void read_fields(const merged_section& section, Entity& entity);
    template <class Entity>
    void require_fields(const merged_section& section);
    template <class Entity>
    Entity read_entity(const merged_section& section);
    template <class Entity>
    void read_named(section_kind kind, known_names& known,
                    std::vector<Entity>& out);
    void add_name(const merged_section& section, std::uint64_t id,
                  known_names& known);
    void read_fleet();
    void read_shards();
    void read_plan(const merged_section& section);
    void read_shard(const merged_section& section);
    bool is_shard_of_service(const merged_section& section);
    void read_backend_servers();
    void read_backend_server(const merged_section& section);
    void read_rules();
    void read_service_levels();
    void report(const merged_section& section, std::string why);

    const merged_settings& m_merged;
    std::vector<settings_error>& m_errors;
    settings m_settings;
    reference_names m_names;
    known_names m_vm_names;
    known_names m_backend_server_names;
    /** Positions of the backend servers that shard plans made. */
    std::unordered_map<backend_server_id, std::size_t> m_planned;
};

} // namespace cranberrywood

#endif
