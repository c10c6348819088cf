#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_REQUEST_AT_CRASH_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_REQUEST_AT_CRASH_HPP

#include "units/ids.hpp"

namespace cranberrywood {

/** A request that was in flight on a backend server when it crashed. */
struct request_at_crash
{
    fingerprint print;
    /** Entry VM of the request. */
    vm_id entry;
};

/** A part of a request that a backend server completed. */
struct completed_part
{
    fingerprint print;
    shard_id shard;
};

} // namespace cranberrywood

#endif
