#include "core/messages.hpp"

namespace cranberrywood {

bool proves_not_started(shard_outcome o)
{
    switch (o) {
    case shard_outcome::shed:
    case shard_outcome::not_owner:
    case shard_outcome::version_gone:
    case shard_outcome::too_late:
    case shard_outcome::out_of_service:
    case shard_outcome::rule_refused:
    case shard_outcome::cancelled:
    case shard_outcome::quarantined:
        return true;
    case shard_outcome::done:
    case shard_outcome::failed:
    case shard_outcome::unknown:
        return false;
    }
    return false;
}

reason reason_of(shard_outcome o)
{
    switch (o) {
    case shard_outcome::not_owner:
        return reason::no_owner;
    case shard_outcome::rule_refused:
        return reason::rule_refused;
    case shard_outcome::too_late:
        return reason::deadline_passed;
    case shard_outcome::failed:
        return reason::server_failed;
    case shard_outcome::unknown:
        return reason::link_lost;
    case shard_outcome::cancelled:
        return reason::caller_gone;
    case shard_outcome::quarantined:
        return reason::quarantined;
    case shard_outcome::done:
    case shard_outcome::shed:
    case shard_outcome::version_gone:
    case shard_outcome::out_of_service:
        return reason::overloaded;
    }
    return reason::overloaded;
}

} // namespace cranberrywood
