#include "settings/section_kind.hpp"

#include <array>

namespace cranberrywood {

namespace {

constexpr std::array<const char*, section_kinds> kind_names = {
    "fleet", "data_centre",    "vm",        "service", "shards",
    "shard", "backend_server", "workspace", "rule",    "service_level",
};

} // namespace

const char* name_of(section_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::optional<section_kind> section_kind_of(std::string_view word)
{
    for (std::size_t i = 0; i < kind_names.size(); ++i) {
        if (word == kind_names.at(i)) {
            return static_cast<section_kind>(i);
        }
    }
    return std::nullopt;
}

std::string heading_of(section_kind kind, std::string_view name)
{
    std::string heading = name_of(kind);
    if (!name.empty()) {
        heading += ' ';
        heading += name;
    }
    return heading;
}

} // namespace cranberrywood
