#ifndef CRANBERRYWOOD_SYSTEMS_MEMBERS_MEMBER_MEMORY_HPP
#define CRANBERRYWOOD_SYSTEMS_MEMBERS_MEMBER_MEMORY_HPP

#include "units/time.hpp"

namespace cranberrywood {

/** Time for which a silent VM counts as a member with slices of the limits. */
constexpr duration member_memory = std::chrono::minutes(10);

} // namespace cranberrywood

#endif
