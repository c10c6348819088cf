#ifndef CRANBERRYWOOD_IO_PLATFORM_JSON_HPP
#define CRANBERRYWOOD_IO_PLATFORM_JSON_HPP

#include "core/events.hpp"

#include <optional>
#include <string>

namespace cranberrywood {

/** Reads a published value; empty when the text is not one. */
std::optional<published_value> read_published_value(const std::string& json);

/** Reads the platform's VM list; empty when the text is not one. */
std::optional<vm_list_read> read_vm_list_json(const std::string& json);

} // namespace cranberrywood

#endif
