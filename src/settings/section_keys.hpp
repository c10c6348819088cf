#ifndef CRANBERRYWOOD_SETTINGS_SECTION_KEYS_HPP
#define CRANBERRYWOOD_SETTINGS_SECTION_KEYS_HPP

#include "settings/section_kind.hpp"
#include "settings/value_text.hpp"

/**
 * Tables of all keys, typed by the entities that they set. They drive the
 * reading, the overlay rules and the reference in docs/OPERATING.md.
 */
namespace cranberrywood {

/** Keys of [fleet]. */
struct fleet_section : fleet_settings
{
    std::string key_salt;
};

/** Keys of [shards SERVICE]: evenly split shards and their replicas. */
struct shard_plan
{
    service_id service;
    std::string name;
    std::uint32_t count = 0;
    key_range keys;
    std::vector<data_centre_id> data_centres;
    std::vector<std::string> hosts;
    std::uint32_t replicas = 0;
    std::uint16_t first_port = 0;
};

/** Member of an entity that a key sets; its type says how to read it. */
template <class Entity>
using field_of = std::variant<
    duration Entity::*, std::uint16_t Entity::*, std::uint32_t Entity::*,
    std::uint64_t Entity::*, bool Entity::*, std::string Entity::*,
    key_range Entity::*, rule_effect Entity::*, index_version Entity::*,
    shard_map_version Entity::*, data_centre_id Entity::*, service_id Entity::*,
    shard_id Entity::*, std::vector<data_centre_id> Entity::*,
    std::vector<service_id> Entity::*, std::vector<workspace_id> Entity::*,
    std::vector<shard_id> Entity::*, std::vector<key_digest> Entity::*,
    std::vector<std::string> Entity::*>;

enum class presence : std::uint8_t
{
    required,
    optional,
};

/** What a site's overlay may do with a key. */
enum class overlay_use : std::uint8_t
{
    /** Nothing: the key is a fact of the whole fleet. */
    base_only,
    /** Set it for the site's own entities; it holds at every site. */
    own_site,
    /** Set it; it holds at that site. */
    per_site,
};

/** One key of the sections that describe an Entity. */
template <class Entity>
struct key_spec
{
    const char* name;
    field_of<Entity> field;
    presence needed;
    overlay_use overlay;
    value_range range;
    const char* meaning;
};

/** Returns the keys of the sections that describe an Entity. */
template <class Entity>
const std::vector<key_spec<Entity>>& keys_of();

template <>
const std::vector<key_spec<fleet_section>>& keys_of();
template <>
const std::vector<key_spec<data_centre_settings>>& keys_of();
template <>
const std::vector<key_spec<vm_settings>>& keys_of();
template <>
const std::vector<key_spec<service_settings>>& keys_of();
template <>
const std::vector<key_spec<shard_plan>>& keys_of();
template <>
const std::vector<key_spec<shard_settings>>& keys_of();
template <>
const std::vector<key_spec<backend_server_settings>>& keys_of();
template <>
const std::vector<key_spec<workspace_settings>>& keys_of();
template <>
const std::vector<key_spec<rule_settings>>& keys_of();
template <>
const std::vector<key_spec<service_level_settings>>& keys_of();

/** Returns the name of a rule's effect as settings write it. */
const char* name_of(rule_effect effect);

} // namespace cranberrywood

#endif
