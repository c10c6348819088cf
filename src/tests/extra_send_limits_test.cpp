#include "systems/queries/extra_send_limits.hpp"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace cranberrywood;

namespace {

/** A deployment's limits and its size. */
struct deployment_row
{
    const char* name;
    std::uint32_t vms;
    double allowance;
    /** Requests of all VMs for one service within a window. */
    std::uint64_t requests;
};

const deployment_row deployments[] = {
    {"6 VMs", 6, 52.0, 1350},
    {"84 VMs", 84, 208.0, 950},
    {"295 VMs", 295, 630.0, 720},
    {"840 VMs", 840, 1800.0, 20000},
};

} // namespace

TEST_GROUP(extra_send_limits)
{
    const service_id shard{7};

    static extra_send_terms terms(double allowance, bool first_start)
    {
        extra_send_terms t;
        t.allowance = allowance;
        t.first_start = first_start;
        return t;
    }
    std::uint64_t spend_all(extra_send_limits & limits) const
    {
        std::uint64_t taken = 0;
        while (limits.take(shard)) {
            ++taken;
        }
        return taken;
    }
    /** Sends a window's requests through one VM and spends all it may. */
    std::uint64_t spend_in_window(extra_send_limits & limits,
                                  std::uint64_t requests) const
    {
        std::uint64_t taken = spend_all(limits);
        for (std::uint64_t i = 0; i < requests; ++i) {
            limits.count_request(shard);
            taken += spend_all(limits);
        }
        return taken;
    }
};

TEST(extra_send_limits, a_vm_of_a_large_fleet_can_hedge_at_first_start)
{
    for (const deployment_row& row : deployments) {
        extra_send_limits limits(terms(row.allowance, true), row.vms);
        CHECK_TEXT(limits.take(shard), row.name);
    }
}

// A pause of a backend server meets a VM's requests to one service one after
// the other: its second hedge must not wait for the credit of six requests.
TEST(extra_send_limits, a_second_hedge_waits_for_three_requests_at_most)
{
    for (const deployment_row& row : deployments) {
        extra_send_limits limits(terms(row.allowance, true), row.vms);
        CHECK_TEXT(limits.take(shard), row.name);
        for (int i = 0; i < 3; ++i) {
            limits.count_request(shard);
        }
        CHECK_TEXT(limits.take(shard), row.name);
    }
}

TEST(extra_send_limits, the_fleet_keeps_the_limit_though_all_processes_restart)
{
    for (const deployment_row& row : deployments) {
        const std::uint64_t each = row.requests / row.vms / 2;
        std::uint64_t taken = 0;
        for (std::uint32_t vm = 0; vm < row.vms; ++vm) {
            extra_send_limits before(terms(row.allowance, true), row.vms);
            taken += spend_in_window(before, each);
            extra_send_limits after(terms(row.allowance, false), row.vms);
            taken += spend_in_window(after, each);
        }
        const double allowed =
            row.allowance + 0.2 * static_cast<double>(row.requests);
        CHECK_TEXT(static_cast<double>(taken) <= allowed, row.name);
    }
}

TEST(extra_send_limits, credit_of_an_assumed_fleet_is_divided_anew)
{
    extra_send_limits limits(terms(208.0, true), 8);
    limits.count_request(shard);
    limits.fleet_changed(84);
    CHECK_EQUAL(1, spend_all(limits));
}

TEST(extra_send_limits, no_allowance_leaves_the_share_of_the_requests)
{
    extra_send_limits limits(terms(0.0, true), 84);
    CHECK_FALSE(limits.take(shard));
    // Credit beyond one send is not kept.
    CHECK_EQUAL(16, spend_in_window(limits, 100));
}
