#include "systems/settings/legal_rules.hpp"

#include "fakes/sample_settings.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;

TEST_GROUP(legal_rules)
{
    settings s = fakes::sample_settings();
    workspace_id w0 = id_of<workspace_id>("w0");
    workspace_id w1 = id_of<workspace_id>("w1");
    service_id search = id_of<service_id>("search");
    shard_id s0 = shard_id_of("search", "s0");
    data_centre_id north = id_of<data_centre_id>("dc-0");
    data_centre_id south = id_of<data_centre_id>("dc-1");
    backend_server_id in_north = id_of<backend_server_id>("s0-r0");
    backend_server_id in_south = id_of<backend_server_id>("s0-r1");

    rule_settings& add_rule(rule_effect effect)
    {
        s.rules.emplace_back();
        s.rules.back().name = "r" + std::to_string(s.rules.size());
        s.rules.back().effect = effect;
        return s.rules.back();
    }
    rule_decision check(workspace_id workspace)
    {
        return check_rules(settings_index(s), workspace, search);
    }
    bool runs(workspace_id workspace, backend_server_id server)
    {
        return may_run(settings_index(s), workspace, search, s0, server);
    }
};

TEST(legal_rules, everything_is_allowed_without_rules)
{
    CHECK_TRUE(runs(w0, in_north));
    CHECK_TRUE(std::get<rule_allowance>(check(w0)).allows(south));
}

TEST(legal_rules, refuses_only_the_workspaces_of_the_rule)
{
    add_rule(rule_effect::refuse).workspaces = {w1};
    STRCMP_EQUAL("r1", std::get<rule_refusal>(check(w1)).rule.c_str());
    CHECK_FALSE(runs(w1, in_north));
    CHECK_TRUE(runs(w0, in_north));
}

TEST(legal_rules, ignores_disabled_rules_and_those_of_other_services)
{
    add_rule(rule_effect::refuse).services = {id_of<service_id>("other")};
    add_rule(rule_effect::refuse).enabled = false;
    CHECK_TRUE(runs(w0, in_north));
}

TEST(legal_rules, allows_only_data_centres_that_all_rules_allow)
{
    add_rule(rule_effect::keep_within).data_centres = {north, south};
    add_rule(rule_effect::keep_within).data_centres = {north};
    CHECK_TRUE(runs(w0, in_north));
    CHECK_FALSE(runs(w0, in_south));
    add_rule(rule_effect::keep_within).data_centres = {south};
    CHECK_FALSE(runs(w0, in_north));
    CHECK_FALSE(runs(w0, in_south));
}

TEST(legal_rules, leaves_out_shards)
{
    add_rule(rule_effect::leave_out).shards = {s0};
    CHECK_TRUE(std::get<rule_allowance>(check(w0)).leaves_out(s0));
    CHECK_FALSE(runs(w0, in_north));
}

// Requests to an open service without a key have no workspace.
TEST(legal_rules, rule_without_workspaces_applies_to_requests_without_one)
{
    add_rule(rule_effect::keep_within).data_centres = {north};
    CHECK_FALSE(runs(workspace_id(), in_south));
    s.rules.front().workspaces = {w0};
    CHECK_TRUE(runs(workspace_id(), in_south));
}

TEST(legal_rules, unknown_backend_server_may_run_nothing)
{
    CHECK_FALSE(runs(w0, id_of<backend_server_id>("gone")));
}
