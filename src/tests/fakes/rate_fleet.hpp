#ifndef CRANBERRYWOOD_TESTS_FAKES_RATE_FLEET_HPP
#define CRANBERRYWOOD_TESTS_FAKES_RATE_FLEET_HPP

#include "core/random_source.hpp"
#include "fakes/manual_role_view.hpp"
#include "systems/rates/rate_borrower.hpp"
#include "systems/rates/rate_home.hpp"

#include <memory>
#include <vector>

namespace cranberrywood::fakes {

/** Decision on one request of one VM. */
struct fleet_decision
{
    rate_decision decision;
    time_point at;
};

/**
 * Homes and borrowers of several VMs, joined by a queue that delays and can
 * lose messages, under one lease that stands for all groups. Time is stepped
 * by hand; equal seeds give equal runs.
 */
class rate_fleet
{
public:
    rate_fleet(std::shared_ptr<const settings_index> settings,
               std::uint64_t seed);

    /** Makes a VM the home of all workspaces. */
    void make_home(std::size_t vm);
    /** The home renews its lease no more; it lapses by itself. */
    void stop_renewing();
    /** Starts to pass the home on; take_over() follows once it is drained. */
    void drain_home();
    bool drained() const;
    /** Starts a new process on a VM. */
    void restart(std::size_t vm);
    /** Stops a VM's processing until a time. */
    void pause(std::size_t vm, time_point until);
    /** Separates the VMs below a number from the others; 0 for none. */
    void partition_below(std::size_t vm);
    /** Sets the share of messages that are lost, and the longest delay. */
    void set_network(std::uint32_t lost_per_thousand, duration longest_delay);

    /** A request arrives at a VM; returns its token. */
    caller_token request(std::size_t vm, workspace_id workspace,
                         duration max_wait);
    /** Lets a millisecond pass. */
    void step();
    /** Takes the decisions since the last call. */
    std::vector<fleet_decision> take_decisions();

    time_point now() const
    {
        return m_now;
    }
    bool paused(std::size_t vm) const
    {
        return m_now < m_machines[vm].paused_until;
    }
    bool has_lease() const
    {
        return m_now < m_lease_until;
    }
    std::size_t home() const
    {
        return m_home;
    }
    std::uint64_t messages() const
    {
        return m_messages;
    }

private:
    struct machine
    {
        std::unique_ptr<manual_role_view> roles;
        std::unique_ptr<rate_home> home;
        std::unique_ptr<rate_borrower> borrower;
        std::uint64_t process = 0;
        time_point paused_until;
        outbox out;
    };

    struct message
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t to_process = 0;
        peer_message body;
        time_point due;
    };

    void tick(std::size_t vm);
    void flush(std::size_t vm);
    void post(std::size_t from, std::size_t to, peer_message body);
    void deliver(const message& sent);
    bool apart(std::size_t a, std::size_t b) const;
    std::size_t index_of(vm_id vm) const;

    std::shared_ptr<const settings_index> m_settings;
    seeded_random m_random;
    std::vector<machine> m_machines;
    std::vector<message> m_network;
    std::vector<fleet_decision> m_decisions;
    time_point m_now{std::chrono::seconds(1000)};
    std::size_t m_home = 0;
    time_point m_lease_until;
    bool m_renews = false;
    bool m_draining = false;
    std::size_t m_partition = 0;
    std::uint32_t m_lost = 0;
    duration m_longest_delay = std::chrono::milliseconds(2);
    std::uint64_t m_last_process = 0;
    std::uint64_t m_last_caller = 0;
    std::uint64_t m_messages = 0;
};

} // namespace cranberrywood::fakes

#endif
