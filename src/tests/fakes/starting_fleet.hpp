#ifndef CRANBERRYWOOD_TESTS_FAKES_STARTING_FLEET_HPP
#define CRANBERRYWOOD_TESTS_FAKES_STARTING_FLEET_HPP

#include "core/gateway.hpp"
#include "core/log_codes.hpp"
#include "systems/store/store_mirror.hpp"
#include "systems/store/store_readers.hpp"
#include "systems/store/store_view.hpp"

#include <array>
#include <functional>
#include <memory>
#include <vector>

namespace cranberrywood::fakes {

/** How a fake store answers its calls. */
enum class store_condition
{
    answering,
    refusing,
    /** Calls are not answered at all. */
    silent,
};

/** Store of a fake fleet: one configuration and some servers. */
struct fake_store
{
    store_condition condition = store_condition::answering;
    std::shared_ptr<const catalogue> settings;
    std::uint64_t servers = 0;
    std::uint64_t revision = 100;
    std::size_t linearizable_lists = 0;
    std::size_t serializable_lists = 0;

    store_page list(store_area area) const;
};

/**
 * VMs that start at given times, with a store and a network that are simulated
 * in steps of one millisecond. Each VM consists of a gateway and of the classes
 * that decide its calls to the store and to readers; the wiring between them is
 * that of `store_source`.
 */
class starting_fleet
{
public:
    starting_fleet(std::size_t vms, std::uint64_t seed, bool workspaces);
    ~starting_fleet();

    /** Starts a VM, or ends its process and starts another one. */
    void start(std::size_t vm);
    /** Ends a VM's process; its machine answers nothing if it lost power. */
    void stop(std::size_t vm, bool lost_power);
    void run(duration length);

    fake_store& store()
    {
        return m_store;
    }
    /** Number of answers to followers that break off, per VM. */
    void break_answers(std::size_t vm, std::size_t count);
    std::size_t size() const
    {
        return m_vms.size();
    }
    const gateway& core(std::size_t vm) const;
    /** Returns the time from a VM's start to a step; zero if not reached. */
    duration time_to(std::size_t vm, startup_step step) const;
    /** Returns the longest time to a step; 1 h if a VM has not reached it. */
    duration slowest(startup_step step) const;

private:
    struct vm_state;
    struct delivery
    {
        time_point at;
        std::size_t to = 0;
        datagram_received datagram;
    };

    static std::string address(std::size_t vm);
    std::size_t number_of(const std::string& to) const;
    void step();
    void handle(std::size_t vm, const gateway_event& event);
    void carry_out(std::size_t vm, const gateway_commands& commands);
    void read_store(std::size_t vm, store_area area, bool first);
    void take_page(std::size_t vm, store_area area, bool first);
    void apply(std::size_t vm, store_area area, const view_update& update);
    void review(std::size_t vm);
    void follow(std::size_t vm);
    void take_copy(std::size_t vm, const mirror_update& copy);
    void reader_failed(std::size_t vm, reader_fault why);
    mirror_update copy_of(std::size_t vm) const;

    seeded_random m_random;
    bool m_workspaces;
    time_point m_now{std::chrono::hours(1)};
    fake_store m_store;
    std::vector<std::unique_ptr<vm_state>> m_vms;
    std::vector<bool> m_without_power;
    std::vector<std::size_t> m_broken_answers;
    std::vector<delivery> m_deliveries;
};

} // namespace cranberrywood::fakes

#endif
