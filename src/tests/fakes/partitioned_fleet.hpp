#ifndef CRANBERRYWOOD_TESTS_FAKES_PARTITIONED_FLEET_HPP
#define CRANBERRYWOOD_TESTS_FAKES_PARTITIONED_FLEET_HPP

#include "fakes/peer_vm.hpp"

#include <deque>
#include <functional>
#include <queue>

namespace cranberrywood::fakes {

/** Size and limits of a partitioned fleet. */
struct partitioned_fleet_shape
{
    std::size_t vms = 8;
    std::size_t data_centres = 3;
    /** Rate and burst of the only workspace. */
    double rate = 130.0;
    double burst = 130.0;
    /**
     * Fault to inject: restarted processes take themselves for the first of
     * the fleet.
     */
    bool restarts_as_first = false;
};

/**
 * VMs that share the rate of one workspace over a network that delays, loses
 * and partitions. Processes can be killed and restarted. Callers reach every
 * running VM, and ask for several times the rate.
 */
class partitioned_fleet
{
public:
    partitioned_fleet(partitioned_fleet_shape shape, std::uint64_t seed);

    /** Lets time pass while callers send a number of requests a second. */
    void run(duration length, double requests_per_second);
    /** Moves a VM to a group; datagrams pass within a group only. */
    void set_group(std::size_t vm, std::size_t group);
    void heal();
    /** Ends a VM's process; another starts after a delay. */
    void kill(std::size_t vm, duration restart_delay);
    std::size_t size() const
    {
        return m_vms.size();
    }
    std::size_t data_centre_of(std::size_t vm) const
    {
        return vm % m_shape.data_centres;
    }
    std::size_t group_of(std::size_t vm) const
    {
        return m_vms[vm].group;
    }
    bool is_seed(std::size_t vm) const;
    /** Returns the most requests that were admitted within five seconds. */
    std::size_t most_in_window() const
    {
        return m_most_in_window;
    }
    /** Returns the requests admitted since the last call. */
    std::size_t take_admitted();

private:
    struct vm_row
    {
        std::unique_ptr<peer_vm> process;
        std::size_t group = 0;
        std::uint64_t number = 0;
        /** Requests that wait for a token that was asked for. */
        std::uint32_t waiting = 0;
    };
    struct due
    {
        time_point at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const due& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void choose_seeds();
    void after(duration delay, std::function<void()> run);
    void start(std::size_t index, bool first);
    void request(std::size_t index);
    take_result try_admit(std::size_t index);
    void count_window();
    void tick(std::size_t index);
    void perform(std::size_t index, const gateway_commands& commands);
    void deliver(std::size_t from, std::size_t to,
                 const gateway_datagram& datagram);

    partitioned_fleet_shape m_shape;
    seeded_random m_random;
    std::shared_ptr<const catalogue> m_settings;
    time_point m_now{std::chrono::hours(1)};
    std::vector<vm_row> m_vms;
    std::vector<std::size_t> m_seeds;
    std::priority_queue<due> m_due;
    std::uint64_t m_order = 0;
    std::uint64_t m_processes = 0;
    double m_owed_requests = 0.0;
    std::deque<time_point> m_admitted;
    std::size_t m_most_in_window = 0;
    std::size_t m_admitted_since = 0;
};

} // namespace cranberrywood::fakes

#endif
