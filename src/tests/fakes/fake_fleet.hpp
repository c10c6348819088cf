#ifndef CRANBERRYWOOD_TESTS_FAKES_FAKE_FLEET_HPP
#define CRANBERRYWOOD_TESTS_FAKES_FAKE_FLEET_HPP

#include "core/node.hpp"
#include "fakes/fake_backend_server.hpp"
#include "fakes/sample_text.hpp"

#include <functional>
#include <queue>
#include <set>

namespace cranberrywood::fakes {

/** Faults of the links between VMs. */
struct link_faults
{
    duration shortest_delay = std::chrono::microseconds(500);
    duration longest_delay = std::chrono::milliseconds(2);
    std::uint32_t loss_per_mille = 0;
    std::uint32_t duplicate_per_mille = 0;
};

/** What one caller asked and was told. */
struct caller_record
{
    caller_request request;
    std::string workspace;
    std::size_t vm = 0;
    time_point asked_at;
    time_point answered_at;
    std::optional<response> answer;
    /** Answers after the first one; there must be none. */
    std::uint32_t further_answers = 0;
};

/**
 * A handful of nodes joined by a small in-memory network, with fake backend
 * servers, platform and callers, all on one simulated clock. Equal seeds and
 * calls give equal runs.
 */
class fake_fleet
{
public:
    fake_fleet(const sample_shape& shape, std::uint64_t seed);

    /** Lets simulated time pass. */
    void run_for(duration d);
    time_point now() const
    {
        return m_now;
    }

    /** Sends a query through a VM; w0's key is "key-w0". */
    caller_token query(std::size_t vm, const std::string& workspace,
                       const std::string& body, duration deadline);
    /** Sends a non-repeatable request through a VM. */
    caller_token lookup(std::size_t vm, const std::string& workspace,
                        const std::string& id, const std::string& body,
                        duration deadline);
    void hang_up(caller_token token);

    void crash(std::size_t vm);
    void start(std::size_t vm);
    void pause(std::size_t vm, duration d);
    void leave(std::size_t vm);
    /** Drops everything that goes from one VM to another. */
    void cut(std::size_t from, std::size_t to);
    void heal();
    void set_faults(const link_faults& faults)
    {
        m_faults = faults;
    }

    void publish(const published_value& value);
    void set_platform_up(bool up)
    {
        m_platform_up = up;
    }
    /** Takes what the VM list says from what is true now. */
    void refresh_vm_list();

    fake_backend_server& server(backend_server_id id);
    std::vector<backend_server_id> server_ids() const;
    void kill_server(backend_server_id id);
    void restart_server(backend_server_id id);

    std::size_t vm_count() const
    {
        return m_vms.size();
    }
    bool is_up(std::size_t vm) const
    {
        return m_vms[vm].process != nullptr;
    }
    node_status status(std::size_t vm) const;
    const std::vector<execution>& executions() const
    {
        return m_executions;
    }
    const std::vector<caller_record>& callers() const
    {
        return m_callers;
    }
    /** Events and commands so far; a measure of the length of a run. */
    std::uint64_t steps() const
    {
        return m_steps;
    }
    /** Most links that a server had at a time. */
    std::uint32_t most_links() const
    {
        return m_most_links;
    }
    /** Log lines of all nodes, with VM and time. */
    const std::vector<std::string>& log() const
    {
        return m_log;
    }

private:
    struct member
    {
        vm_id id;
        std::string name;
        data_centre_id data_centre;
        std::unique_ptr<seeded_random> random;
        std::unique_ptr<node> process;
        std::uint64_t generation = 0;
        time_point paused_until;
        bool watching = false;
    };
    struct action
    {
        time_point at;
        std::uint64_t order;
        std::function<void()> run;
        friend bool operator<(const action& a, const action& b)
        {
            return a.at != b.at ? b.at < a.at : b.order < a.order;
        }
    };
    using link = std::pair<std::size_t, backend_server_id>;

    void after(duration d, std::function<void()> run);
    void deliver(std::size_t vm, std::uint64_t generation, event e);
    void tick(std::size_t vm, std::uint64_t generation);
    void perform(std::size_t vm, const commands& asked_for);
    void perform(std::size_t vm, const send_to_peer& c);
    void perform(std::size_t vm, const open_backend& c);
    void perform(std::size_t vm, const close_backend& c);
    void perform(std::size_t vm, const send_to_backend& c);
    void perform(std::size_t vm, const cancel_at_backend& c);
    void perform(std::size_t vm, const answer_caller& c);
    void perform(std::size_t vm, const read_configuration& c);
    void perform(std::size_t vm, const read_vm_list& c);
    void perform(std::size_t vm, const log_event& c);
    void perform(std::size_t vm, const stop_process& c);
    void perform(std::size_t vm, const settings_accepted& c);
    void answer_watch(std::size_t vm);
    void reply(const fake_backend_server::reply& r, backend_server_id from);
    void serve(backend_server_id id);
    void break_links(backend_server_id id);
    std::size_t index_of(vm_id id) const;
    caller_token submit(std::size_t vm, const std::string& workspace,
                        caller_request request);
    duration network_delay();

    time_point m_now{std::chrono::hours(1)};
    seeded_random m_random;
    std::uint64_t m_order = 0;
    std::uint64_t m_steps = 0;
    std::priority_queue<action> m_actions;
    std::vector<member> m_vms;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    link_faults m_faults;
    std::map<backend_server_id, fake_backend_server> m_servers;
    std::set<link> m_links;
    std::uint32_t m_most_links = 0;
    bool m_platform_up = true;
    published_value m_published;
    vm_list_read m_listed;
    std::vector<execution> m_executions;
    std::vector<caller_record> m_callers;
    std::vector<std::string> m_log;
};

} // namespace cranberrywood::fakes

#endif
