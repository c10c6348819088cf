#ifndef CRANBERRYWOOD_CORE_ADMITTED_REQUEST_HPP
#define CRANBERRYWOOD_CORE_ADMITTED_REQUEST_HPP

#include "core/messages.hpp"
#include "settings/settings.hpp"

#include <optional>

namespace cranberrywood {

/** Workspace and key digest of a request. The key itself is not stored. */
struct request_rights
{
    workspace_id workspace;
    /** Digest of the presented key; none on an open route. */
    std::optional<key_digest> digest;
};

/** An admitted request with its rights; the key has been discarded. */
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
