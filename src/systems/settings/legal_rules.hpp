#ifndef CRANBERRYWOOD_SYSTEMS_SETTINGS_LEGAL_RULES_HPP
#define CRANBERRYWOOD_SYSTEMS_SETTINGS_LEGAL_RULES_HPP

#include "settings/settings.hpp"

#include <optional>
#include <variant>

/**
 * Evaluates the rules of the settings in force. The entry VM and the owner of
 * the backend server both check them before each send, so that a query
 * admitted under an older revision makes no send that a newer one forbids.
 */
namespace cranberrywood {

/** Result of the rules: the named rule refuses the request. */
struct rule_refusal
{
    std::string rule;
};

/** Result of the rules: the request may run, with these restrictions. */
struct rule_allowance
{
    /** Data centres that may run the request; unset when all may. */
    std::optional<std::vector<data_centre_id>> within;
    /** Shards that the answer must leave out. */
    std::vector<shard_id> left_out;

    /** Returns whether a data centre may run the request. */
    bool allows(data_centre_id data_centre) const;
    /** Returns whether the answer must leave a shard out. */
    bool leaves_out(shard_id shard) const;
};

using rule_decision = std::variant<rule_refusal, rule_allowance>;

/**
 * Evaluates the rules for a workspace's requests to a service. The workspace
 * is unset for requests without a key to an open service.
 */
rule_decision check_rules(const settings_index& settings,
                          workspace_id workspace, service_id service);

/**
 * Returns whether the rules let a backend server run a workspace's request
 * to one shard of a service; false for an unknown backend server.
 */
bool may_run(const settings_index& settings, workspace_id workspace,
             service_id service, shard_id shard,
             backend_server_id backend_server);

} // namespace cranberrywood

#endif
