#include "core/results.hpp"

#include <utility>

namespace cranberrywood {

const char* name_of(step s)
{
    switch (s) {
    case step::front:
        return "front";
    case step::admission:
        return "admission";
    case step::rights:
        return "rights";
    case step::rate:
        return "rate";
    case step::quarantine:
        return "quarantine";
    case step::queue:
        return "queue";
    case step::routing:
        return "routing";
    case step::owner:
        return "owner";
    case step::id_owner:
        return "id_owner";
    case step::backend_server:
        return "backend_server";
    case step::merge:
        return "merge";
    case step::shutdown:
        return "shutdown";
    }
    return "unknown";
}

const char* name_of(reason r)
{
    switch (r) {
    case reason::malformed:
        return "malformed";
    case reason::key_missing:
        return "key_missing";
    case reason::key_unknown:
        return "key_unknown";
    case reason::workspace_not_allowed:
        return "workspace_not_allowed";
    case reason::service_unknown:
        return "service_unknown";
    case reason::deadline_invalid:
        return "deadline_invalid";
    case reason::rule_refused:
        return "rule_refused";
    case reason::over_rate:
        return "over_rate";
    case reason::overloaded:
        return "overloaded";
    case reason::quarantined:
        return "quarantined";
    case reason::view_unconfirmed:
        return "view_unconfirmed";
    case reason::not_ready:
        return "not_ready";
    case reason::shutting_down:
        return "shutting_down";
    case reason::deadline_passed:
        return "deadline_passed";
    case reason::no_owner:
        return "no_owner";
    case reason::link_lost:
        return "link_lost";
    case reason::server_failed:
        return "server_failed";
    case reason::id_unknown_after_takeover:
        return "id_unknown_after_takeover";
    case reason::caller_gone:
        return "caller_gone";
    }
    return "unknown";
}

response to_response(std::variant<not_run, outcome_unknown> refusal)
{
    if (auto* nothing_sent = std::get_if<not_run>(&refusal)) {
        return std::move(*nothing_sent);
    }
    return std::get<outcome_unknown>(std::move(refusal));
}

} // namespace cranberrywood
