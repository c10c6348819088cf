#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_REPLICA_PICKER_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_REPLICA_PICKER_HPP

#include "core/messages.hpp"
#include "settings/settings.hpp"

#include <optional>

namespace cranberrywood {

/** Backend server that can run a non-repeatable request. */
struct lookup_target
{
    backend_server_id backend_server;
    shard_id shard;
    key_range keys;
    shard_map_version map;
    index_version index;
    /** VM presumed to own the backend server. */
    vm_id owner;
};

/**
 * Selects the backend server for a non-repeatable request. An interface, so
 * that tests can mock it.
 */
class replica_picker
{
public:
    virtual ~replica_picker() = default;

    /**
     * Returns a backend server of the shard that covers the lookup key, other
     * than the excluded ones; none if none is left.
     */
    virtual std::optional<lookup_target>
    pick(const lookup_ask& ask, const std::vector<backend_server_id>& excluded,
         time_point now) = 0;
};

} // namespace cranberrywood

#endif
