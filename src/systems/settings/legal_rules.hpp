#ifndef CRANBERRYWOOD_SYSTEMS_SETTINGS_LEGAL_RULES_HPP
#define CRANBERRYWOOD_SYSTEMS_SETTINGS_LEGAL_RULES_HPP

#include "settings/settings.hpp"

#include <optional>
#include <variant>

/**
 * Evaluates the rules of the settings in force. The entry VM and the owner
 * both ask at each send, so that a query admitted under an older revision
 * makes no send that a newer one forbids.
 */
namespace cranberrywood {

/** A rule refuses the request. */
struct rule_refusal
{
    std::string rule;
};

/** The request may run, within these bounds. */
struct rule_allowance
{
    /** Data centres that it must stay within; unset when any may run it. */
    std::optional<std::vector<data_centre_id>> within;
    /** Shards that the answer must leave out. */
    std::vector<shard_id> left_out;

    /** Returns whether a data centre may run the request. */
    bool allows(data_centre_id data_centre) const;
    /** Returns whether the answer must leave a shard out. */
    bool leaves_out(shard_id shard) const;
};

using rule_verdict = std::variant<rule_refusal, rule_allowance>;

/**
 * Returns what the rules say of a workspace's requests to a service. The
 * workspace is unset for requests without a key to an open service.
 */
rule_verdict check_rules(const settings_index& settings, workspace_id workspace,
                         service_id service);

/**
 * Returns whether the rules let a backend server run a workspace's request
 * to one shard of a service. A backend server that is not known may not.
 */
bool may_run(const settings_index& settings, workspace_id workspace,
             service_id service, shard_id shard,
             backend_server_id backend_server);

} // namespace cranberrywood

#endif
