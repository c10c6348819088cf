#ifndef CRANBERRYWOOD_SYSTEMS_LOOKUPS_LOOKUP_ROUTER_HPP
#define CRANBERRYWOOD_SYSTEMS_LOOKUPS_LOOKUP_ROUTER_HPP

#include "core/random_source.hpp"
#include "core/role_view.hpp"
#include "systems/queries/version_pins.hpp"
#include "systems/servers/replica_choice.hpp"
#include "systems/servers/replica_picker.hpp"
#include "systems/settings/rights_check.hpp"

namespace cranberrywood {

/** Chooses the backend server of a non-repeatable request. */
class lookup_router : public replica_picker
{
public:
    /** The arguments must outlive this object. */
    lookup_router(const role_view& roles, const rights_check& rights,
                  const replica_choice& replicas, version_pins& pins,
                  random_source& random);

    /** Applies a settings revision. */
    void settings_changed(std::shared_ptr<const settings_index> settings);

    std::optional<lookup_target>
    pick(const lookup_ask& ask, const std::vector<backend_server_id>& excluded,
         time_point now) override;

private:
    const shard_settings* find_shard(const lookup_ask& ask) const;

    const role_view& m_roles;
    const rights_check& m_rights;
    const replica_choice& m_replicas;
    version_pins& m_pins;
    random_source& m_random;
    std::shared_ptr<const settings_index> m_settings;
};

} // namespace cranberrywood

#endif
