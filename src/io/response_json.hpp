#ifndef CRANBERRYWOOD_IO_RESPONSE_JSON_HPP
#define CRANBERRYWOOD_IO_RESPONSE_JSON_HPP

#include "core/node_status.hpp"
#include "core/results.hpp"
#include "io/request_json.hpp"
#include "settings/settings.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace cranberrywood {

/** An answer as it goes to a caller. */
struct http_answer
{
    int status = 200;
    /** `answered`, `not_run`, `outcome_unknown` or `failed`. */
    std::string outcome;
    /** Reason of a refusal; empty for an answer. */
    std::string reason;
    std::string json;
};

/** Turns a response into JSON; settings, if any, give the peers' names. */
http_answer to_http(const response& r, const settings_index* settings);

/** Returns which route a request line names; none when it names neither. */
std::optional<request_kind> kind_of_target(std::string_view target);

/**
 * Builds a refusal of a request that never reached the node. Only a query is
 * known not to have run: the id of a lookup may have run through another VM,
 * and so may a request of unknown kind.
 */
http_answer refusal_at_front(int status, reason why, const std::string& field,
                             const std::string& what,
                             std::optional<request_kind> kind);

/** Returns the HTTP status for a reason. */
int status_of(reason why);

/** Returns a node's status as JSON for operators. */
std::string to_json(const node_status& status, const settings_index* settings);

} // namespace cranberrywood

#endif
