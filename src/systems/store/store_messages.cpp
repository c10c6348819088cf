#include "systems/store/store_messages.hpp"

namespace cranberrywood {

const char* name_of(store_area area)
{
    return area == store_area::operator_settings ? "operator_settings"
                                                 : "backend_servers";
}

bool is_older_configuration(const store_value& known, const store_value& value)
{
    const auto* before = std::get_if<std::shared_ptr<const catalogue>>(&known);
    const auto* after = std::get_if<std::shared_ptr<const catalogue>>(&value);
    return before != nullptr && after != nullptr &&
           (*after)->version < (*before)->version;
}

} // namespace cranberrywood
