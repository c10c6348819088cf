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

    rule_settings& add(rule_effect effect)
    {
        s.rules.emplace_back();
        s.rules.back().name = "r" + std::to_string(s.rules.size());
        s.rules.back().effect = effect;
        return s.rules.back();
    }
    rule_verdict check(workspace_id workspace)
    {
        return check_rules(settings_index(s), workspace, search);
    }
    bool runs(workspace_id workspace, backend_server_id server)
    {
        return may_run(settings_index(s), workspace, search, s0, server);
    }
};

TEST(legal_rules, nothing_is_forbidden_without_rules)
{
    CHECK_TRUE(runs(w0, in_north));
    CHECK_TRUE(std::get<rule_allowance>(check(w0)).allows(south));
}

TEST(legal_rules, refuses_only_whom_the_rule_is_about)
{
    add(rule_effect::refuse).workspaces = {w1};
    STRCMP_EQUAL("r1", std::get<rule_refusal>(check(w1)).rule.c_str());
    CHECK_FALSE(runs(w1, in_north));
    CHECK_TRUE(runs(w0, in_north));
}

TEST(legal_rules, rule_of_another_service_or_switched_off_is_ignored)
{
    add(rule_effect::refuse).services = {id_of<service_id>("other")};
    add(rule_effect::refuse).enabled = false;
    CHECK_TRUE(runs(w0, in_north));
}

TEST(legal_rules, keeps_within_what_all_rules_allow)
{
    add(rule_effect::keep_within).data_centres = {north, south};
    add(rule_effect::keep_within).data_centres = {north};
    CHECK_TRUE(runs(w0, in_north));
    CHECK_FALSE(runs(w0, in_south));
    add(rule_effect::keep_within).data_centres = {south};
    CHECK_FALSE(runs(w0, in_north));
    CHECK_FALSE(runs(w0, in_south));
}

TEST(legal_rules, leaves_out_shards)
{
    add(rule_effect::leave_out).shards = {s0};
    CHECK_TRUE(std::get<rule_allowance>(check(w0)).leaves_out(s0));
    CHECK_FALSE(runs(w0, in_north));
}

// Requests to an open service without a key have no workspace.
TEST(legal_rules, rule_for_all_holds_for_requests_without_a_workspace)
{
    add(rule_effect::keep_within).data_centres = {north};
    CHECK_FALSE(runs(workspace_id(), in_south));
    s.rules.front().workspaces = {w0};
    CHECK_TRUE(runs(workspace_id(), in_south));
}

TEST(legal_rules, unknown_backend_server_may_run_nothing)
{
    CHECK_FALSE(runs(w0, id_of<backend_server_id>("gone")));
}
