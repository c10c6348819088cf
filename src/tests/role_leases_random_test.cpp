#include "fakes/lease_cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t all_vms = 11;
constexpr std::uint32_t first_vms = 8;
constexpr std::uint64_t seeds_per_run = 20;
// Seeds within which the checker must detect a broken rule.
constexpr std::uint64_t seeds_per_fault = 30;

/** Settings whose slots are the VMs of a bit set. */
settings fleet_of(std::uint64_t slots, std::uint64_t revision)
{
    fakes::sample_shape shape;
    shape.vms = all_vms;
    settings s = fakes::sample_settings(shape);
    s.revision = revision_number(revision);
    s.fleet.shared_groups = 6;
    s.fleet.groups_per_data_centre = 2;
    std::vector<vm_settings> kept;
    for (std::size_t vm = 0; vm < all_vms; ++vm) {
        if (((slots >> vm) & 1) != 0) {
            kept.push_back(s.vms[vm]);
        }
    }
    s.vms = kept;
    return s;
}

/** One run of random faults on a cluster; equal seeds give equal runs. */
class random_run
{
public:
    random_run(std::uint64_t seed, const lease_policy& policy, bool new_slots)
        : m_new_slots(new_slots),
          cluster(all_vms, fleet_of(m_slots, 1), seed, policy)
    {
        cluster.links.longest = 40ms;
        for (std::size_t vm = 0; vm < first_vms; ++vm) {
            cluster.start(vm);
        }
        cluster.run(4s);
    }

    void make_faults(int count)
    {
        for (int i = 0; i < count && cluster.violation().empty(); ++i) {
            make_fault();
            cluster.run(std::chrono::milliseconds(below(2500)));
        }
    }

    /** Ends all faults and lets the fleet settle. */
    void end_faults()
    {
        cluster.open_all();
        cluster.kill_replaced();
        cluster.links = fakes::link_quality();
        cluster.give_list({list_version(++m_list), all_listed()});
        cluster.publish(fleet_of(m_slots, ++m_revision), 100ms);
        for (std::size_t vm = 0; vm < all_vms; ++vm) {
            if (((m_slots >> vm) & 1) == 0) {
                cluster.kill(vm);
            } else if (!cluster.is_running(vm) || m_left.count(vm) != 0) {
                cluster.start(vm);
            }
        }
        cluster.run(60s);
    }

private:
    std::size_t below(std::uint64_t bound)
    {
        return cluster.random().below(bound);
    }
    std::size_t any_vm()
    {
        return below(all_vms);
    }

    void make_fault()
    {
        switch (below(m_new_slots ? 10 : 9)) {
        case 0: {
            const bool outgoing = below(2) == 0;
            return block_one_way(any_vm(), outgoing);
        }
        case 1:
            return partition();
        case 2:
        case 3:
            return cluster.open_all();
        case 4:
            return pause();
        case 5:
            return restart();
        case 6:
            cluster.links.lost = below(2) * 100;
            cluster.links.doubled = below(2) * 100;
            cluster.links.longest = std::chrono::milliseconds(5 + below(400));
            return;
        case 7:
            return leave();
        case 8:
            return stale_list();
        default:
            return change_slots();
        }
    }

    // Grants queued for a paused holder are stale when it resumes.
    void pause()
    {
        const std::size_t vm = any_vm();
        cluster.pause(vm, std::chrono::milliseconds(below(9000)));
        if (below(2) == 0) {
            block_one_way(vm, false);
        }
    }

    void block_one_way(std::size_t vm, bool inwards)
    {
        for (std::size_t other = 0; other < all_vms; ++other) {
            if (other != vm && below(4) != 0) {
                cluster.block(inwards ? other : vm, inwards ? vm : other, true);
            }
        }
    }

    void partition()
    {
        const std::uint64_t sides = below(1U << all_vms);
        for (std::size_t a = 0; a < all_vms; ++a) {
            for (std::size_t b = 0; b < all_vms; ++b) {
                if (((sides >> a) & 1) != ((sides >> b) & 1)) {
                    cluster.block(a, b, true);
                }
            }
        }
    }

    void restart()
    {
        const std::size_t vm = below(first_vms);
        const std::size_t mode = below(4);
        if (mode == 0) {
            return restart_others(vm);
        }
        m_left.erase(vm);
        if (mode == 1) {
            return cluster.kill(vm);
        }
        return mode == 2 ? cluster.start(vm) : cluster.start_beside(vm);
    }

    void restart_others(std::size_t isolated)
    {
        for (std::size_t vm = 0; vm < first_vms; ++vm) {
            if (vm != isolated) {
                m_left.erase(vm);
                cluster.start(vm);
                cluster.block(vm, isolated, true);
                cluster.block(isolated, vm, true);
            }
        }
    }

    void leave()
    {
        const std::size_t vm = any_vm();
        if (m_left.size() < 3) {
            m_left.insert(vm);
            cluster.leave(vm);
        }
    }

    std::vector<listed_vm> all_listed() const
    {
        std::vector<listed_vm> listed;
        for (std::size_t vm = 0; vm < all_vms; ++vm) {
            listed.push_back({cluster.id(vm), false});
        }
        return listed;
    }

    void stale_list()
    {
        std::vector<listed_vm> listed = all_listed();
        listed[any_vm()].leaving = true;
        listed.erase(listed.begin() + static_cast<std::ptrdiff_t>(any_vm()));
        cluster.give_list({list_version(++m_list), listed});
    }

    // One change of several slots per run: exclusiveness is not guaranteed when
    // a second change starts before the first is complete.
    void change_slots()
    {
        if (m_revision > 1) {
            return;
        }
        const std::uint64_t added = 1 + below(7);
        const std::uint64_t removed = below(256) & below(256) & below(256);
        m_slots = (m_slots & ~removed) | (added << first_vms);
        cluster.publish(fleet_of(m_slots, ++m_revision), 3s);
        for (std::size_t vm = first_vms; vm < all_vms; ++vm) {
            if (((m_slots >> vm) & 1) != 0) {
                cluster.start(vm);
            }
        }
    }

    bool m_new_slots;
    std::uint64_t m_slots = (1U << first_vms) - 1;
    std::uint64_t m_revision = 1;
    std::uint64_t m_list = 0;
    std::set<std::size_t> m_left;

public:
    fakes::lease_cluster cluster;
};

std::string first_violation(const lease_policy& policy, std::uint64_t first)
{
    for (std::uint64_t i = 0; i < seeds_per_fault; ++i) {
        random_run run(first + i, policy, false);
        run.make_faults(40);
        if (!run.cluster.violation().empty()) {
            return run.cluster.violation();
        }
    }
    return {};
}

/**
 * Replaces five of eight slots while these five are partitioned from the rest:
 * the majorities of the old and new slots have no VM in common.
 */
std::string replace_most_slots(const lease_policy& policy)
{
    fakes::lease_cluster cluster(all_vms, fleet_of(0xff, 1), 1, policy);
    for (std::size_t vm = 0; vm < first_vms; ++vm) {
        cluster.start(vm);
    }
    cluster.run(10s);
    for (std::size_t old = 0; old < 5; ++old) {
        for (std::size_t vm = 5; vm < all_vms; ++vm) {
            cluster.block(old, vm, true);
            cluster.block(vm, old, true);
        }
    }
    cluster.publish(fleet_of(0x7e0, 2), 3s);
    for (std::size_t vm = first_vms; vm < all_vms; ++vm) {
        cluster.start(vm);
    }
    cluster.run(60s);
    const bool served = cluster.all_held_by_first_live();
    return served ? cluster.violation() : "not served: " + cluster.violation();
}

void check_runs(std::uint64_t first_seed, bool new_slots)
{
    std::uint64_t steps = 0;
    for (std::uint64_t i = 0; i < seeds_per_run; ++i) {
        const std::uint64_t seed = first_seed + i;
        const std::string name = "seed " + std::to_string(seed);
        random_run run(seed, default_lease_policy(), new_slots);
        run.make_faults(40);
        run.end_faults();
        steps += run.cluster.steps();
        STRCMP_EQUAL_TEXT("", run.cluster.violation().c_str(), name.c_str());
        CHECK_TEXT(run.cluster.all_held_by_first_live(), name.c_str());
    }
    CHECK(steps > 0);
}

struct lease_from_receipt : lease_policy
{
    time_point holder_expiry(time_point /*sent*/, time_point received,
                             const fleet_settings& fleet) const override
    {
        return lease_policy::holder_expiry(received, received, fleet);
    }
};

struct grants_without_startup_wait : lease_policy
{
    time_point first_grant_time(time_point started,
                                const fleet_settings& /*fleet*/) const override
    {
        return started;
    }
};

struct half_is_majority : lease_policy
{
    std::size_t majority(std::size_t witnesses) const override
    {
        return (witnesses + 1) / 2;
    }
};

struct grants_over_unexpired_lease : lease_policy
{
    bool excludes(vm_id holder, vm_id asker) const override
    {
        return holder < asker;
    }
};

struct renews_former_lease : lease_policy
{
    bool former_lease_blocks_renewal() const override
    {
        return false;
    }
};

struct new_set_alone : lease_policy
{
    bool requires_old_set() const override
    {
        return false;
    }
};

struct late_release_ends_lease : lease_policy
{
    bool release_covers(std::uint64_t /*released*/,
                        std::uint64_t /*asked*/) const override
    {
        return true;
    }
};

} // namespace

TEST_GROUP(role_leases_random){};

TEST(role_leases_random, one_holder_under_faults_and_recovery_after_them)
{
    check_runs(1000, false);
}

TEST(role_leases_random, one_holder_while_slots_are_added_and_removed)
{
    check_runs(2000, true);
}

TEST(role_leases_random, one_holder_when_old_and_new_majorities_are_disjoint)
{
    STRCMP_EQUAL("", replace_most_slots(default_lease_policy()).c_str());
    CHECK(!replace_most_slots(new_set_alone()).empty());
}

TEST(role_leases_random, checker_detects_each_broken_rule)
{
    struct broken_rule
    {
        const char* name;
        std::shared_ptr<const lease_policy> policy;
        std::uint64_t first_seed;
    };
    const std::vector<broken_rule> table{
        {"lease counted from the receipt of the grant",
         std::make_shared<lease_from_receipt>(), 110},
        {"witness grants before its startup wait is over",
         std::make_shared<grants_without_startup_wait>(), 1},
        {"half of the witnesses suffices", std::make_shared<half_is_majority>(),
         1},
        {"release not awaited", std::make_shared<grants_over_unexpired_lease>(),
         1},
        {"successor renews the lease of a process that still runs",
         std::make_shared<renews_former_lease>(), 1},
        {"release ends a lease that was asked for later",
         std::make_shared<late_release_ends_lease>(), 1},
    };
    for (const broken_rule& rule : table) {
        const std::string seen = first_violation(*rule.policy, rule.first_seed);
        CHECK_TEXT(!seen.empty(), rule.name);
    }
}
