#ifndef CRANBERRYWOOD_TESTS_SOAK_SOAK_WORLD_HPP
#define CRANBERRYWOOD_TESTS_SOAK_SOAK_WORLD_HPP

#include "core/gateway.hpp"
#include "soak/soak_server.hpp"
#include "soak/soak_trace.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>

namespace cranberrywood::soak {

/** Port of the first backend server; the others follow. */
constexpr std::uint16_t first_server_port = 8000;
/** Asks for less than its rate; its key is never withdrawn. */
constexpr const char* steady_workspace = "desk";
/** Asks for twice its rate; its key is withdrawn at times. */
constexpr const char* pressing_workspace = "field";

/** End of the path of a request that crashes each server that runs it. */
constexpr const char* fatal_path = "fatal";

/** Returns the address at which a VM receives datagrams. */
std::string vm_address(std::size_t vm);

/** State of a VM's links to the backend servers. */
enum class link_state : std::uint8_t
{
    up,
    /** Nothing passes and nothing is refused. */
    silent,
    /** Connections are reset, new ones are refused. */
    refused,
    /** Open connections live on, new ones are refused. */
    established_only,
};

/** Sizes of a run. */
struct soak_shape
{
    std::size_t vms = 5;
    std::uint64_t shards = 6;
    std::uint64_t servers_per_service = 3;
    /** Mean time between two requests, and between two faults. */
    duration request_gap = std::chrono::milliseconds(8);
    duration fault_gap = std::chrono::milliseconds(350);
};

/**
 * Several gateways in one process with a simulated clock: a network that
 * delays, loses and cuts, backend servers with faults, a store whose news
 * arrive late, an operator and callers. Keeps a trace for the checker.
 */
class soak_world
{
public:
    soak_world(std::uint64_t seed, soak_shape shape);

    /** Plays requests and faults, then a time without faults. */
    void play(duration with_faults, duration without);
    /** Plays requests only. */
    void play_steady(duration length);
    /** Lets what was asked come to its end. */
    void finish();
    void cut_links(std::size_t index, link_state state);
    time_point now() const
    {
        return m_now;
    }

    const trace& seen() const
    {
        return m_trace;
    }
    /** Returns the limits of the run's workspaces. */
    static std::vector<workspace_limit> workspaces();
    std::uint64_t commands() const
    {
        return m_commands;
    }
    const std::vector<std::string>& log() const
    {
        return m_log;
    }

private:
    /** An exchange that one VM relays for another. */
    struct open_relay
    {
        std::size_t asker = 0;
        std::uint64_t asker_process = 0;
        exchange_id exchange;
        std::size_t helper = 0;
        std::uint64_t helper_process = 0;
    };
    struct vm
    {
        std::unique_ptr<seeded_random> random;
        std::unique_ptr<gateway> core;
        /** Distinguishes the processes of one VM. */
        std::uint64_t process = 0;
        time_point frozen_until;
        bool store_cut = false;
        /** Links to the backend servers. */
        link_state links = link_state::up;
        std::uint64_t version = 0;
        std::set<backend_server_id> leaving;
        std::optional<time_point> wakeup;
        std::map<caller_token, std::size_t> callers;
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
    struct version
    {
        std::shared_ptr<const catalogue> read;
        /** Workspace whose key it does not hold; empty when it holds all. */
        std::string withdrawn;
    };

    void after(duration delay, std::function<void()> run);
    /** Runs something in a process of a VM once it is not frozen. */
    void in_process(std::size_t index, std::uint64_t process,
                    std::function<void()> run);
    void run_until(time_point end);

    void start_vm(std::size_t index);
    void kill_vm(std::size_t index);
    void freeze_vm(std::size_t index);
    void feed(std::size_t index, const gateway_event& event);
    void perform(std::size_t index, const gateway_commands& commands);
    void plan(std::size_t index);

    void publish(const std::string& withdrawn);
    void tell_store(std::size_t index);
    void report_servers();
    void tell_servers(std::size_t index);

    void start(std::size_t index, const start_exchange& command);
    void receive(std::size_t index, std::uint64_t process,
                 const start_exchange& command, bool was_leaving);
    void probe(std::size_t index, const probe_server& command);
    /** Ends a server's process, which is back after a second. */
    void crash(std::size_t place, bool dark);
    void run(std::size_t index, std::uint64_t process,
             const start_exchange& command, soak_server& server,
             std::size_t arrival);
    void finish_run(std::size_t index, std::uint64_t process,
                    exchange_id exchange, const std::string& server_name,
                    std::size_t address, std::size_t arrival);
    void end_exchange(std::size_t index, std::uint64_t process,
                      exchange_id exchange,
                      std::variant<backend_answer, exchange_failure> result);
    /** Tells a process that an exchange ended, whatever its links are. */
    void deliver_end(std::size_t index, std::uint64_t process,
                     const exchange_ended& ended);
    void cut_links_of_some();
    bool passes_link(std::size_t index);
    void fail_on_link(std::size_t index, std::uint64_t process,
                      exchange_id exchange);
    /** Returns whether an answer is lost on the VM's links. */
    bool loses_answer(std::size_t index, std::uint64_t process,
                      exchange_id exchange);
    void relay(std::size_t index, const start_relay& command);
    void answer_peer(const answer_relay& command);
    void end_relay(relay_token token,
                   std::variant<backend_answer, exchange_failure> result,
                   backend_server_id server);
    void cancel(std::size_t index, exchange_id exchange);
    void end_relays_of(std::size_t index);
    void send(std::size_t from, const send_datagram& command);
    void answer(std::size_t index, const answer_to_caller& command);

    void next_request();
    void ask();
    void next_fault();
    void inject_fault();
    void inject_server_fault(std::size_t index);
    void end_faults();
    soak_server* at(const endpoint& address);
    duration delay();

    soak_shape m_shape;
    seeded_random m_random;
    time_point m_now{std::chrono::hours(1)};
    std::priority_queue<due> m_due;
    std::uint64_t m_order = 0;
    std::vector<vm> m_vms;
    /** By the port of their address, which is never used again. */
    std::vector<soak_server> m_servers;
    std::vector<version> m_versions;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::map<relay_token, open_relay> m_relays;
    std::uint64_t m_next_relay = 0;
    std::uint64_t m_loss_per_mille = 0;
    bool m_asking = false;
    bool m_faults = false;
    bool m_quiet = false;
    std::uint64_t m_commands = 0;
    std::uint64_t m_next_token = 0;
    std::uint64_t m_processes = 0;
    trace m_trace;
    std::vector<std::string> m_log;
};

} // namespace cranberrywood::soak

#endif
