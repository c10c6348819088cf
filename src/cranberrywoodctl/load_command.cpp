#include "cranberrywoodctl/load_command.hpp"

#include "cranberrywoodctl/load_report.hpp"
#include "cranberrywoodctl/request_arguments.hpp"

#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

namespace cranberrywood::ctl {

namespace {

using steady = std::chrono::steady_clock;

constexpr std::uint32_t max_connections = 256;

struct load_plan
{
    std::vector<std::string> vms;
    std::string key;
    std::string body;
    std::chrono::milliseconds timeout{0};
    double rate = 0;
    std::uint64_t requests = 0;
};

/**
 * Open loop: each request has a time at which it is due, and its latency
 * counts from then, also when no connection was free for it.
 */
class load_run
{
public:
    explicit load_run(load_plan plan)
        : m_plan(std::move(plan)), m_started(steady::now())
    {
    }

    /** Sends requests one after the other until none is left. */
    void work(std::size_t worker)
    {
        vm_client client(m_plan.vms[worker % m_plan.vms.size()],
                         m_plan.timeout);
        for (auto number = m_next++; number < m_plan.requests;
             number = m_next++) {
            const auto due = due_at(number);
            std::this_thread::sleep_until(due);
            const auto result =
                client.post("/v1/query", m_plan.key, m_plan.body);
            const auto latency = steady::now() - due;
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_report.add(
                result,
                std::chrono::duration_cast<std::chrono::microseconds>(latency));
        }
    }

    std::uint64_t done()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_report.requests();
    }

    /** Prints a line each second until all requests have ended. */
    void print_progress()
    {
        auto next = m_started + std::chrono::seconds(1);
        while (done() < m_plan.requests) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            if (steady::now() >= next) {
                std::cerr << '\r' << done() << " of " << m_plan.requests
                          << " requests" << std::flush;
                next += std::chrono::seconds(1);
            }
        }
        std::cerr << '\n';
    }

    const load_report& report() const
    {
        return m_report;
    }
    std::chrono::duration<double> took() const
    {
        return steady::now() - m_started;
    }

private:
    steady::time_point due_at(std::uint64_t number) const
    {
        const std::chrono::duration<double> after(static_cast<double>(number) /
                                                  m_plan.rate);
        return m_started + std::chrono::duration_cast<steady::duration>(after);
    }

    load_plan m_plan;
    steady::time_point m_started;
    std::atomic<std::uint64_t> m_next{0};
    std::mutex m_mutex;
    load_report m_report;
};

int run_and_print(load_plan plan, std::uint32_t connections, bool as_json)
{
    load_run run(std::move(plan));
    std::vector<std::thread> workers;
    for (std::uint32_t i = 0; i < connections; ++i) {
        workers.emplace_back([&run, i] { run.work(i); });
    }
    run.print_progress();
    const auto took = run.took();
    for (auto& worker : workers) {
        worker.join();
    }
    std::cout << (as_json ? run.report().json_text(took)
                          : run.report().text(took));
    return run.report().answered() == 0 ? exit_no : exit_ok;
}

} // namespace

int load_command(const words& arguments)
{
    TCLAP::CmdLine line("Sends queries to VMs at a fixed rate and prints "
                        "latencies, coverage and refusals.");
    const request_arguments request(line);
    TCLAP::ValueArg<double> rate("r", "rate", "Queries per second", false, 10,
                                 "RATE", line);
    TCLAP::ValueArg<double> seconds("t", "seconds", "Length of the run", false,
                                    10, "SECONDS", line);
    TCLAP::ValueArg<std::uint32_t> connections("c", "connections",
                                               "Connections, 256 at most",
                                               false, 32, "COUNT", line);
    TCLAP::SwitchArg as_json("", "json", "Print the report as JSON", line);
    TCLAP::UnlabeledMultiArg<std::string> vms("vms", "Addresses of VMs", true,
                                              "HOST:PORT", line);
    if (const auto code = parse(line, arguments)) {
        return *code;
    }
    const bool sound = rate.getValue() > 0 && seconds.getValue() > 0 &&
                       rate.getValue() * seconds.getValue() < 1e8;
    if (!sound || connections.getValue() == 0 ||
        connections.getValue() > max_connections) {
        std::cerr << "load: rate, seconds or connections out of range\n";
        return exit_usage;
    }
    const auto requests =
        static_cast<std::uint64_t>(rate.getValue() * seconds.getValue());
    return run_and_print({vms.getValue(), request.key(), request.query_json(),
                          request.timeout(), rate.getValue(), requests},
                         connections.getValue(), as_json.getValue());
}

} // namespace cranberrywood::ctl
