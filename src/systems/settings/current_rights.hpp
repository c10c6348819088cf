#ifndef CRANBERRYWOOD_SYSTEMS_SETTINGS_CURRENT_RIGHTS_HPP
#define CRANBERRYWOOD_SYSTEMS_SETTINGS_CURRENT_RIGHTS_HPP

#include "systems/queries/quarantine.hpp"
#include "systems/servers/owner_dispatch.hpp"
#include "systems/settings/rights_check.hpp"

namespace cranberrywood {

/**
 * Checks requests against the settings revision in force (keys, the services
 * of a workspace, the legal rules) and against the quarantine. Used by the
 * entry VM of a request and, as send_gate, by the owner of a backend server.
 */
class current_rights : public rights_check, public send_gate
{
public:
    /** The quarantine must outlive the object. */
    explicit current_rights(const quarantine& requests);

    /** Replaces the settings in force. */
    void settings_changed(std::shared_ptr<const settings_index> settings);

    std::optional<error_detail> find_refusal(const request_rights& rights,
                                             service_id service) const override;
    bool leaves_out(workspace_id workspace, service_id service,
                    shard_id shard) const override;
    bool may_run(workspace_id workspace, service_id service, shard_id shard,
                 backend_server_id server) const override;
    std::optional<shard_outcome> forbids(const owner_request& request,
                                         const shard_ask& ask,
                                         time_point now) const override;
    bool may_share(fingerprint print, const std::vector<fingerprint>& others,
                   time_point now) const override;

private:
    std::optional<error_detail> check_key(const request_rights& rights,
                                          service_id service) const;

    const quarantine& m_quarantine;
    std::shared_ptr<const settings_index> m_settings;
};

} // namespace cranberrywood

#endif
