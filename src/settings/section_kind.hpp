#ifndef CRANBERRYWOOD_SETTINGS_SECTION_KIND_HPP
#define CRANBERRYWOOD_SETTINGS_SECTION_KIND_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cranberrywood {

/** Kinds of sections that a settings file may have. */
enum class section_kind : std::uint8_t
{
    fleet,
    data_centre,
    vm,
    service,
    shards,
    shard,
    backend_server,
    workspace,
    rule,
    service_level,
};

/** Number of section kinds. */
constexpr std::size_t section_kinds = 10;

/** Word that stands for every name in a list; no section has this name. */
constexpr std::string_view all_names = "all";

/** Returns the first word of a section's heading. */
const char* name_of(section_kind kind);

/** Returns the kind that a heading's first word stands for. */
std::optional<section_kind> section_kind_of(std::string_view word);

/** Returns a section's heading without brackets. */
std::string heading_of(section_kind kind, std::string_view name);

} // namespace cranberrywood

#endif
