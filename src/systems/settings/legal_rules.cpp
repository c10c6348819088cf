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

bool applies_to(const rule_settings& rule, workspace_id workspace,
                service_id service)
{
    return rule.enabled && matches(rule.workspaces, workspace) &&
           matches(rule.services, service);
}

/** Removes the data centres that a further rule does not allow. */
void intersect(std::optional<std::vector<data_centre_id>>& allowed_centres,
               const std::vector<data_centre_id>& rule_centres)
{
    if (!allowed_centres) {
        allowed_centres = rule_centres;
        return;
    }
    allowed_centres->erase(
        std::remove_if(
            allowed_centres->begin(), allowed_centres->end(),
            [&](auto centre) { return !contains(rule_centres, centre); }),
        allowed_centres->end());
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

rule_decision check_rules(const settings_index& settings,
                          workspace_id workspace, service_id service)
{
    rule_allowance allowance;
    for (const auto& rule : settings.all().rules) {
        if (!applies_to(rule, workspace, service)) {
            continue;
        }
        switch (rule.effect) {
        case rule_effect::refuse:
            return rule_refusal{rule.name};
        case rule_effect::keep_within:
            intersect(allowance.within, rule.data_centres);
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
    const rule_decision decision = check_rules(settings, workspace, service);
    const auto* allowance = std::get_if<rule_allowance>(&decision);
    return server != nullptr && allowance != nullptr &&
           allowance->allows(server->data_centre) &&
           !allowance->leaves_out(shard);
}

} // namespace cranberrywood
