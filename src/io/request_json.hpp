#ifndef CRANBERRYWOOD_IO_REQUEST_JSON_HPP
#define CRANBERRYWOOD_IO_REQUEST_JSON_HPP

#include "core/events.hpp"

#include <string>
#include <variant>

namespace cranberrywood {

/** Why a caller's JSON is not a request; the field may be empty. */
struct request_fault
{
    reason why = reason::malformed;
    std::string field;
    std::string what;
};

constexpr const char* query_target = "/v1/query";
constexpr const char* lookup_target = "/v1/lookup";

/** The two routes for requests. */
enum class request_kind : std::uint8_t
{
    query,
    lookup,
};

/**
 * Reads a caller's JSON. The result lacks token and key, which do not stand
 * in the JSON. Refuses unknown fields, so that a misspelt one is noticed.
 */
std::variant<caller_request, request_fault>
read_request(const std::string& json, request_kind kind);

} // namespace cranberrywood

#endif
