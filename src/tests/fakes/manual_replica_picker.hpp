#ifndef CRANBERRYWOOD_TESTS_FAKES_MANUAL_REPLICA_PICKER_HPP
#define CRANBERRYWOOD_TESTS_FAKES_MANUAL_REPLICA_PICKER_HPP

#include "systems/servers/replica_picker.hpp"

#include <algorithm>

namespace cranberrywood::fakes {

/** Picks the first target of a list that is not excluded. */
class manual_replica_picker : public replica_picker
{
public:
    std::vector<lookup_target> targets;

    /** Adds a target with a backend server and its owner. */
    void add(std::uint64_t server, vm_id owner)
    {
        lookup_target target;
        target.backend_server = backend_server_id(server);
        target.shard = shard_id(1);
        target.keys = {0, 999};
        target.owner = owner;
        targets.push_back(target);
    }

    std::optional<lookup_target>
    pick(const lookup_ask&, const std::vector<backend_server_id>& excluded,
         time_point) override
    {
        for (const auto& target : targets) {
            const auto found = std::find(excluded.begin(), excluded.end(),
                                         target.backend_server);
            if (found == excluded.end()) {
                return target;
            }
        }
        return std::nullopt;
    }
};

} // namespace cranberrywood::fakes

#endif
