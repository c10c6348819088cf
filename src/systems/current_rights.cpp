#include "systems/current_rights.hpp"

#include "systems/key_check.hpp"

#include <algorithm>

namespace cranberrywood {

void current_rights::settings_changed(
    std::shared_ptr<const settings_index> settings)
{
    m_settings = std::move(settings);
}

std::optional<error_detail>
current_rights::refuses(const request_rights& rights, service_id service) const
{
    if (m_settings->find(service) == nullptr) {
        return error_detail{
            step::rights, reason::service_unknown, {}, {}, "service"};
    }
    if (auto error = key_refused(rights, service)) {
        return error;
    }
    return std::nullopt;
}

std::optional<error_detail>
current_rights::key_refused(const request_rights& rights,
                            service_id service) const
{
    if (!rights.digest) {
        if (m_settings->find(service)->open) {
            return std::nullopt;
        }
        return error_detail{
            step::rights, reason::key_missing, {}, {}, "X-Workspace-Key"};
    }
    const auto holder = workspace_of_digest(*m_settings, *rights.digest);
    if (holder != rights.workspace) {
        return error_detail{
            step::rights, reason::key_unknown, {}, {}, "X-Workspace-Key"};
    }
    const auto& services = m_settings->find(*holder)->services;
    const bool allowed =
        services.empty() ||
        std::find(services.begin(), services.end(), service) != services.end();
    if (!allowed) {
        return error_detail{
            step::rights, reason::workspace_not_allowed, {}, {}, "service"};
    }
    return std::nullopt;
}

bool current_rights::leaves_out(workspace_id, service_id, shard_id) const
{
    return false;
}

bool current_rights::may_run(workspace_id, service_id, shard_id,
                             backend_server_id) const
{
    return true;
}

std::optional<shard_outcome>
current_rights::forbids(const owner_request& request, const shard_ask& ask,
                        time_point) const
{
    if (may_run(request.workspace, request.service, ask.shard,
                ask.backend_server)) {
        return std::nullopt;
    }
    return shard_outcome::rule_refused;
}

} // namespace cranberrywood
