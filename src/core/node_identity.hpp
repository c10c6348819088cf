#ifndef CRANBERRYWOOD_CORE_NODE_IDENTITY_HPP
#define CRANBERRYWOOD_CORE_NODE_IDENTITY_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <string>

namespace cranberrywood {

/** Identity of this process, fixed at its start. */
struct node_identity
{
    vm_id vm;
    incarnation process;
    data_centre_id data_centre;
    std::string site;
    time_point started;
};

} // namespace cranberrywood

#endif
