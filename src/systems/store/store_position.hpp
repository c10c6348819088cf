#ifndef CRANBERRYWOOD_SYSTEMS_STORE_STORE_POSITION_HPP
#define CRANBERRYWOOD_SYSTEMS_STORE_STORE_POSITION_HPP

#include "units/strong_value.hpp"

#include <cstdint>
#include <string>

namespace cranberrywood {

/** Revision of the platform's store; increases with each change of an era. */
using store_revision = strong_value<struct store_revision_tag, std::uint64_t>;

/**
 * Increases each time the store is restored from an older copy: revisions then
 * go back and are assigned again. 0 if the store does not report it.
 */
using store_era = strong_value<struct store_era_tag, std::uint64_t>;

/** Point in the history of the store; a later era is newer at any revision. */
struct store_position
{
    store_era era;
    store_revision revision;

    friend bool operator==(store_position a, store_position b)
    {
        return a.era == b.era && a.revision == b.revision;
    }
    friend bool operator!=(store_position a, store_position b)
    {
        return !(a == b);
    }
    friend bool operator<(store_position a, store_position b)
    {
        return a.era != b.era ? a.era < b.era : a.revision < b.revision;
    }
    friend bool operator<=(store_position a, store_position b)
    {
        return !(b < a);
    }
    friend bool operator>(store_position a, store_position b)
    {
        return b < a;
    }
    friend bool operator>=(store_position a, store_position b)
    {
        return !(a < b);
    }
};

/** Returns `era/revision` for logs. */
inline std::string to_string(store_position position)
{
    return std::to_string(position.era.value()) + '/' +
           std::to_string(position.revision.value());
}

} // namespace cranberrywood

#endif
