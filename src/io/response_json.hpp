#ifndef CRANBERRYWOOD_IO_RESPONSE_JSON_HPP
#define CRANBERRYWOOD_IO_RESPONSE_JSON_HPP

#include "core/node_status.hpp"
#include "core/results.hpp"
#include "settings/settings.hpp"

#include <string>

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

/** Builds a refusal of a request that never reached the node. */
http_answer refusal_at_front(int status, reason why, const std::string& field,
                             const std::string& what);

/** Returns the HTTP status for a reason. */
int status_of(reason why);

/** Returns a node's status as JSON for operators. */
std::string to_json(const node_status& status, const settings_index* settings);

} // namespace cranberrywood

#endif
