#include "systems/store/store_messages.hpp"

namespace cranberrywood {

const char* name_of(store_area area)
{
    return area == store_area::operator_settings ? "operator_settings"
                                                 : "backend_servers";
}

} // namespace cranberrywood
