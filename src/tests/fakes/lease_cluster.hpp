#ifndef CRANBERRYWOOD_TESTS_FAKES_LEASE_CLUSTER_HPP
#define CRANBERRYWOOD_TESTS_FAKES_LEASE_CLUSTER_HPP

#include "core/random_source.hpp"
#include "fakes/sample_settings.hpp"
#include "systems/members/heartbeats.hpp"
#include "systems/members/peer_sessions.hpp"
#include "systems/members/role_leases.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace cranberrywood::fakes {

/** How the messages between the processes of a lease_cluster travel. */
struct link_quality
{
    duration shortest = std::chrono::milliseconds(1);
    duration longest = std::chrono::milliseconds(5);
    /** Messages in a thousand. */
    std::uint32_t lost = 0;
    std::uint32_t doubled = 0;
};

/**
 * Processes that run the membership systems alone, joined by a message queue
 * under a simulated time. Each process has its own drifting clock.
 */
class lease_cluster
{
public:
    /** VMs "vm-0"… of which the settings name the first few. */
    lease_cluster(std::uint32_t vms, const settings& s, std::uint64_t seed,
                  const lease_policy& policy = default_lease_policy());
    ~lease_cluster();

    /** Starts a process in a VM; a running one is replaced. */
    void start(std::size_t vm);
    /** Ends the process in a VM. */
    void kill(std::size_t vm);
    /** Starts a new process while the old one runs on without arrivals. */
    void start_beside(std::size_t vm);
    /** Ends all processes that were replaced but still run. */
    void kill_replaced();
    void pause(std::size_t vm, duration length);
    void leave(std::size_t vm);

    /** Blocks or opens the way of messages from one VM to another. */
    void block(std::size_t from, std::size_t to, bool blocked);
    void open_all();

    /** Publishes settings; each process takes them after up to a delay. */
    void publish(const settings& s, duration longest_delay);
    /** Gives all running processes a VM list. */
    void give_list(const vm_list_read& list);

    /** Runs until the time has advanced by a length. */
    void run(duration length);

    /** Returns the VM that holds a group now; several are a violation. */
    std::vector<std::size_t> holders(role_group_id group) const;
    /** Returns the first violation that was seen; empty when none. */
    const std::string& violation() const
    {
        return m_violation;
    }
    std::uint64_t steps() const
    {
        return m_steps;
    }
    bool is_running(std::size_t vm) const;
    const settings_index& published() const
    {
        return *m_published;
    }
    vm_id id(std::size_t vm) const
    {
        return m_ids[vm];
    }
    /** Returns the leases of the process in a VM, which must run. */
    role_leases& leases(std::size_t vm);
    const role_map& map() const
    {
        return *m_map;
    }
    /** Returns whether each group is held by its best running candidate. */
    bool all_held_by_first_live() const;
    seeded_random& random()
    {
        return m_random;
    }

    link_quality links;
    /** Longest time that a process takes to drain a group. */
    duration longest_drain = std::chrono::milliseconds(500);

private:
    struct process;
    struct receiver;
    using processes = std::vector<std::unique_ptr<process>>;

    void spawn(std::size_t vm);
    process* present(std::size_t vm) const;
    process* find(incarnation target) const;
    void take(incarnation target,
              const std::shared_ptr<const settings_index>& taken);
    void step(process& p);
    void drain(process& p, role_group_id group);
    void arrive(incarnation target, const peer_envelope& envelope);
    void deliver(process& p, const peer_envelope& envelope);
    void settle(process& p);
    void send(process& p, vm_id to, peer_message body);
    void post(const peer_envelope& envelope, vm_id to);
    void check();
    void at(time_point when, std::function<void()> action);
    duration between(duration least, duration most);
    std::size_t index_of(vm_id vm) const;

    std::vector<vm_id> m_ids;
    seeded_random m_random;
    const lease_policy& m_policy;
    std::shared_ptr<const settings_index> m_published;
    std::unique_ptr<role_map> m_map;
    processes m_processes;
    std::multimap<time_point, std::function<void()>> m_agenda;
    std::set<std::pair<std::size_t, std::size_t>> m_blocked;
    time_point m_time = time_point(std::chrono::hours(1));
    std::uint64_t m_next_incarnation = 1;
    std::uint64_t m_steps = 0;
    std::string m_violation;
};

} // namespace cranberrywood::fakes

#endif
