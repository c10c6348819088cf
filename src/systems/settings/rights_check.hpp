#ifndef CRANBERRYWOOD_SYSTEMS_SETTINGS_RIGHTS_CHECK_HPP
#define CRANBERRYWOOD_SYSTEMS_SETTINGS_RIGHTS_CHECK_HPP

#include "core/admitted_request.hpp"

namespace cranberrywood {

/**
 * Checks what a request may do under the settings in force. It is called
 * before every send, so that a revoked key or a new rule also stops requests
 * that were admitted earlier.
 */
class rights_check
{
public:
    virtual ~rights_check() = default;

    /** Returns why a request may not run; nothing when it may. */
    virtual std::optional<error_detail>
    find_refusal(const request_rights& rights, service_id service) const = 0;

    /** Returns whether a rule leaves a shard out of answers. */
    virtual bool leaves_out(workspace_id workspace, service_id service,
                            shard_id shard) const = 0;

    /** Returns whether a request may run at a backend server. */
    virtual bool may_run(workspace_id workspace, service_id service,
                         shard_id shard, backend_server_id server) const = 0;
};

} // namespace cranberrywood

#endif
