#include "systems/settings/current_rights.hpp"

#include "systems/settings/key_check.hpp"
#include "systems/settings/legal_rules.hpp"

#include <algorithm>

namespace cranberrywood {

current_rights::current_rights(const quarantine& requests)
    : m_quarantine(requests)
{
}

void current_rights::settings_changed(
    std::shared_ptr<const settings_index> settings)
{
    m_settings = std::move(settings);
}

std::optional<error_detail>
current_rights::find_refusal(const request_rights& rights,
                             service_id service) const
{
    if (m_settings->find(service) == nullptr) {
        return error_detail{
            step::rights, reason::service_unknown, {}, {}, "service"};
    }
    if (auto error = check_key(rights, service)) {
        return error;
    }
    const auto decision = check_rules(*m_settings, rights.workspace, service);
    if (const auto* refusal = std::get_if<rule_refusal>(&decision)) {
        return error_detail{
            step::rights, reason::rule_refused, {}, {}, refusal->rule};
    }
    return std::nullopt;
}

std::optional<error_detail>
current_rights::check_key(const request_rights& rights,
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

bool current_rights::leaves_out(workspace_id workspace, service_id service,
                                shard_id shard) const
{
    const auto decision = check_rules(*m_settings, workspace, service);
    const auto* allowed = std::get_if<rule_allowance>(&decision);
    return allowed != nullptr && allowed->leaves_out(shard);
}

bool current_rights::may_run(workspace_id workspace, service_id service,
                             shard_id shard, backend_server_id server) const
{
    return cranberrywood::may_run(*m_settings, workspace, service, shard,
                                  server);
}

std::optional<shard_outcome>
current_rights::forbids(const owner_request& request, const shard_ask& ask,
                        time_point now) const
{
    if (m_quarantine.check(request.print, now) == quarantine_status::refused) {
        return shard_outcome::quarantined;
    }
    if (!may_run(request.workspace, request.service, ask.shard,
                 ask.backend_server)) {
        return shard_outcome::rule_refused;
    }
    return std::nullopt;
}

bool current_rights::may_share(fingerprint print,
                               const std::vector<fingerprint>& others,
                               time_point now) const
{
    return m_quarantine.size() == 0 ||
           m_quarantine.may_share(print, others, now);
}

} // namespace cranberrywood
