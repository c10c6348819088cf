#include "systems/settings/legal_rules.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

template <class Id>
bool contains(const std::vector<Id>& ids, Id id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

template <class Id>
bool matches(const std::vector<Id>& ids, Id id)
{
    return ids.empty() || contains(ids, id);
}

bool is_about(const rule_settings& rule, workspace_id workspace,
              service_id service)
{
    return rule.enabled && matches(rule.workspaces, workspace) &&
           matches(rule.services, service);
}

/** Keeps only those data centres that a further rule allows, too. */
void narrow(std::optional<std::vector<data_centre_id>>& within,
            const std::vector<data_centre_id>& allowed)
{
    if (!within) {
        within = allowed;
        return;
    }
    within->erase(
        std::remove_if(within->begin(), within->end(),
                       [&](auto centre) { return !contains(allowed, centre); }),
        within->end());
}

} // namespace

bool rule_allowance::allows(data_centre_id data_centre) const
{
    return !within || contains(*within, data_centre);
}

bool rule_allowance::leaves_out(shard_id shard) const
{
    return contains(left_out, shard);
}

rule_verdict check_rules(const settings_index& settings, workspace_id workspace,
                         service_id service)
{
    rule_allowance allowance;
    for (const auto& rule : settings.all().rules) {
        if (!is_about(rule, workspace, service)) {
            continue;
        }
        switch (rule.effect) {
        case rule_effect::refuse:
            return rule_refusal{rule.name};
        case rule_effect::keep_within:
            narrow(allowance.within, rule.data_centres);
            break;
        case rule_effect::leave_out:
            allowance.left_out.insert(allowance.left_out.end(),
                                      rule.shards.begin(), rule.shards.end());
            break;
        }
    }
    return allowance;
}

bool may_run(const settings_index& settings, workspace_id workspace,
             service_id service, shard_id shard,
             backend_server_id backend_server)
{
    const backend_server_settings* server = settings.find(backend_server);
    const rule_verdict verdict = check_rules(settings, workspace, service);
    const auto* allowance = std::get_if<rule_allowance>(&verdict);
    return server != nullptr && allowance != nullptr &&
           allowance->allows(server->data_centre) &&
           !allowance->leaves_out(shard);
}

} // namespace cranberrywood
