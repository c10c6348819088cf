#ifndef CRANBERRYWOOD_CORE_ADMITTED_REQUEST_HPP
#define CRANBERRYWOOD_CORE_ADMITTED_REQUEST_HPP

#include "core/messages.hpp"
#include "settings/settings.hpp"

#include <optional>

namespace cranberrywood {

/** On whose behalf a request runs. The digest is kept, the key is not. */
struct request_rights
{
    workspace_id workspace;
    /** Digest of the presented key; none on a route open to all. */
    std::optional<key_digest> digest;
};

/** A caller's request with its rights, after the key has been dropped. */
struct admitted_request
{
    caller_token token;
    request_rights rights;
    service_id service;
    revision_number revision;
    time_point arrived;
    time_point deadline;
    std::uint32_t hit_limit = 0;
    std::string body;
    fingerprint print;
    /** Caller's id of a non-repeatable request; none for a query. */
    std::optional<request_id> lookup;
    std::uint64_t lookup_key = 0;
};

} // namespace cranberrywood

#endif
