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
        return true;
    case shard_outcome::done:
    case shard_outcome::failed:
    case shard_outcome::unknown:
        return false;
    }
    return false;
}

} // namespace cranberrywood
