#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_SHARD_ROUTER_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_SHARD_ROUTER_HPP

#include "core/random_source.hpp"
#include "core/role_view.hpp"
#include "systems/queries/version_pins.hpp"
#include "systems/servers/replica_choice.hpp"
#include "systems/settings/rights_check.hpp"
#include "tables/query_table.hpp"

namespace cranberrywood {

/** Selects the replica for a sub-request, and the VM that owns the replica. */
class shard_router
{
public:
    /** A replica and the VM that most likely owns it. */
    struct route
    {
        backend_server_id backend_server;
        vm_id owner;
    };

    /** The referenced objects must outlive this object. */
    shard_router(role_view& roles, const rights_check& rights,
                 replica_choice& replicas, const version_pins& pins,
                 random_source& random);

    /** Applies a settings revision. */
    void settings_changed(std::shared_ptr<const settings_index> settings);

    /** Returns the replicas that a sub-request may be sent to now. */
    std::vector<backend_server_id>
    usable_replicas(const query_row& query, const query_shard_row& shard) const;

    /**
     * Chooses a replica; returns nullopt when there is none or its owner is
     * unknown.
     */
    std::optional<route> find(const query_row& query,
                              const query_shard_row& shard, bool allow_cold,
                              time_point now);

    /** Stores the owner that a not_owner result names. */
    void update_owner(const shard_result& result);

private:
    role_view& m_roles;
    const rights_check& m_rights;
    replica_choice& m_replicas;
    const version_pins& m_pins;
    random_source& m_random;
    std::shared_ptr<const settings_index> m_settings;
};

} // namespace cranberrywood

#endif
