#include "core/gateway.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t servers = 14;
constexpr duration server_restart = 3s;
constexpr duration vm_restart = 600ms;
/** Time after which a VM that started, and all after a crash, are held to it.
 */
constexpr duration stable_window = 4s;

std::string address(std::size_t vm)
{
    return "10.0." + std::to_string(vm / 200) + "." +
           std::to_string(vm % 200 + 1) + ":7000";
}

/** Sizes and faults of a run. */
struct fleet_shape
{
    std::size_t vms = 7;
    std::uint64_t lost_datagrams_per_mille = 50;
    /** Time between two kills of a VM; 0 for none. */
    duration kill_gap{0};
    /** Time between two attempts of the request that crashes servers. */
    duration attempt_gap = 2s;
};

/**
 * VMs on a simulated network, servers of one service, and a request that
 * crashes each server that begins to run it and comes again at any VM.
 */
class crash_fleet
{
public:
    crash_fleet(std::uint64_t seed, fleet_shape shape)
        : m_shape(shape), m_random(seed), m_vms(shape.vms)
    {
        m_settings = std::make_shared<catalogue>();
        m_settings->version = 1;
        route reads;
        reads.name = "reads";
        reads.host = "a";
        reads.prefix = "/reads/";
        reads.target = forward_target{{{id_of<service_id>("s"), 1}}};
        reads.max_sends = 2;
        reads.timeout = 2s;
        reads.target_latency = 400ms;
        reads.repeatable = true;
        reads.open = true;
        m_settings->add_route(reads);
        service_entry service;
        service.name = "s";
        service.connections = 400;
        m_settings->add_service(service);
        for (std::size_t index = 0; index < m_vms.size(); ++index) {
            start(index);
        }
    }
    void run(duration length)
    {
        const time_point end = m_now + length;
        time_point next_attempt = m_now + 5s;
        time_point next_kill = m_now + m_shape.kill_gap;
        time_point next_other = m_now + 5s;
        while (m_now < end) {
            m_now += 1ms;
            while (!m_due.empty() && m_due.top().at <= m_now) {
                const due next = m_due.top();
                m_due.pop();
                next.run();
            }
            for (std::size_t index = 0; index < m_vms.size(); ++index) {
                if (m_vms[index].core &&
                    *m_vms[index].core->next_wakeup() <= m_now) {
                    perform(index, m_vms[index].core->tick(m_now));
                }
            }
            if (m_now >= next_other) {
                next_other = m_now + 10ms;
                ask("/reads/" + std::to_string(m_tokens));
            }
            if (m_now >= next_attempt) {
                next_attempt = m_now + m_shape.attempt_gap;
                ask("/reads/fatal");
            }
            if (m_shape.kill_gap > 0ms && m_now >= next_kill) {
                next_kill = m_now + m_shape.kill_gap;
                kill(m_random.below(m_vms.size()));
            }
        }
    }
    std::size_t crashes() const
    {
        return m_crashes;
    }
    /** Attempts that reached servers though they should have been refused. */
    std::size_t late_attempts() const
    {
        return m_late.size();
    }
    /** Returns the share of the other requests that were answered. */
    double served() const
    {
        return static_cast<double>(m_served) / static_cast<double>(m_asked);
    }

private:
    struct vm
    {
        std::unique_ptr<seeded_random> random;
        std::unique_ptr<gateway> core;
        std::uint64_t process = 0;
        time_point started;
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

    void after(duration delay, std::function<void()> run)
    {
        m_due.push({m_now + delay, ++m_order, std::move(run)});
    }
    void feed_later(std::size_t to, duration delay, const gateway_event& event)
    {
        const std::uint64_t process = m_vms[to].process;
        after(delay, [this, to, process, event] {
            if (m_vms[to].core && m_vms[to].process == process) {
                perform(to, m_vms[to].core->handle(event, m_now));
            }
        });
    }
    duration delay()
    {
        return std::chrono::microseconds(500 + m_random.below(3000));
    }
    void start(std::size_t index)
    {
        vm& v = m_vms[index];
        gateway_settings settings;
        settings.member = {address(index), {address(0), address(1)}};
        settings.member.origin.data_centre = data_centre_id(1 + index % 3);
        v.random = std::make_unique<seeded_random>(m_random.next());
        v.core = std::make_unique<gateway>(settings, *v.random, m_now);
        v.started = m_now;
        ++v.process;
        feed_later(index, 0ms, catalogue_read{m_settings});
        feed_later(index, 0ms, store_reachability_changed{true});
        servers_reported report;
        report.whole_list = true;
        for (std::uint64_t id = 0; id < servers; ++id) {
            backend_server_entry entry;
            entry.id = backend_server_id(id + 1);
            entry.name = std::to_string(id);
            entry.service = id_of<service_id>("s");
            entry.data_centre = data_centre_id(1 + id % 3);
            report.entries.push_back(entry);
        }
        feed_later(index, 0ms, report);
    }
    void kill(std::size_t index)
    {
        m_vms[index].core.reset();
        after(vm_restart, [this, index] { start(index); });
    }
    void ask(const std::string& path)
    {
        const std::size_t index = m_random.below(m_vms.size());
        if (!m_vms[index].core || m_now - m_vms[index].started < 2s) {
            return;
        }
        auto outbound = std::make_shared<outbound_request>();
        outbound->id = std::to_string(++m_tokens);
        outbound->method = "GET";
        outbound->target = path;
        m_asked += path == "/reads/fatal" ? 0 : 1;
        feed_later(index, 0ms,
                   request_received{caller_token(m_tokens), "a", path, "", 2s,
                                    m_now, outbound, 0ms});
    }
    void perform(std::size_t index, const gateway_commands& commands)
    {
        for (const gateway_command& command : commands) {
            if (const auto* start = std::get_if<start_exchange>(&command)) {
                receive(index, *start);
            } else if (const auto* probe =
                           std::get_if<probe_server>(&command)) {
                feed_later(
                    index, delay(),
                    server_probed{probe->server, is_down(probe->server)
                                                     ? probe_result::refused
                                                     : probe_result::accepted});
            } else if (const auto* sent =
                           std::get_if<send_datagram>(&command)) {
                send(index, *sent);
            } else if (const auto* answer =
                           std::get_if<answer_to_caller>(&command)) {
                m_served +=
                    std::holds_alternative<relayed_answer>(answer->answer) ? 1
                                                                           : 0;
            }
        }
    }
    void receive(std::size_t index, const start_exchange& start)
    {
        exchange_ended ended{start.exchange, exchange_failure{}};
        if (is_down(start.server)) {
            ended.result = exchange_failure{exchange_fault::connection_refused};
        } else if (start.request->target == "/reads/fatal") {
            note_crash(index, start);
        } else {
            backend_answer answer;
            answer.status = 200;
            answer.receipt = "receipt";
            answer.message = std::make_shared<const relayed_message>();
            ended.result = answer;
        }
        feed_later(index, 5ms + delay(), ended);
    }
    void note_crash(std::size_t index, const start_exchange& start)
    {
        m_down[start.server] = m_now + server_restart;
        ++m_crashes;
        if (m_crashes == 3) {
            m_third_crash = m_now;
        }
        const bool in_touch = m_now - m_vms[index].started >= stable_window;
        if (m_crashes > 3 && m_now > m_third_crash + stable_window &&
            in_touch) {
            m_late[start.request->id] = true;
        }
    }
    bool is_down(backend_server_id server) const
    {
        const auto found = m_down.find(server);
        return found != m_down.end() && m_now < found->second;
    }
    void send(std::size_t from, const send_datagram& sent)
    {
        for (std::size_t to = 0; to < m_vms.size(); ++to) {
            if (address(to) == sent.to &&
                m_random.below(1000) >= m_shape.lost_datagrams_per_mille) {
                feed_later(to, delay(),
                           datagram_received{address(from), sent.datagram});
            }
        }
    }

    fleet_shape m_shape;
    seeded_random m_random;
    time_point m_now{1h};
    std::vector<vm> m_vms;
    std::shared_ptr<catalogue> m_settings;
    std::priority_queue<due> m_due;
    std::uint64_t m_order = 0;
    std::uint64_t m_tokens = 0;
    std::size_t m_asked = 0;
    std::size_t m_served = 0;
    std::map<backend_server_id, time_point> m_down;
    std::size_t m_crashes = 0;
    time_point m_third_crash;
    /** Late attempts that reached a server, by their ids. */
    std::map<std::string, bool> m_late;
};

/** Retries that the users allow later than the stable window. */
constexpr std::size_t allowed_late_attempts = 3;
constexpr double served_share = 0.98;

void check(std::uint64_t seed, const fleet_shape& shape, duration length)
{
    crash_fleet fleet(seed, shape);
    fleet.run(length);
    if (fleet.late_attempts() > allowed_late_attempts ||
        fleet.served() < served_share) {
        const std::string what =
            std::to_string(shape.vms) + " VMs, seed " + std::to_string(seed) +
            ": " + std::to_string(fleet.crashes()) + " crashes, " +
            std::to_string(fleet.late_attempts()) + " late, served " +
            std::to_string(fleet.served());
        FAIL(what.c_str());
    }
}

} // namespace

TEST_GROUP(crash_fleet){};

TEST(crash_fleet, a_request_that_crashes_servers_is_refused_by_every_vm)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        check(seed, {}, 60s);
    }
}

TEST(crash_fleet, vms_that_restart_learn_of_it_from_the_others)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        fleet_shape shape;
        shape.lost_datagrams_per_mille = 200;
        shape.kill_gap = 5s;
        shape.attempt_gap = 500ms;
        check(seed, shape, 60s);
    }
}

TEST(crash_fleet, a_large_fleet_hears_of_it_in_time)
{
    fleet_shape shape;
    shape.vms = 84;
    shape.attempt_gap = 700ms;
    check(1, shape, 20s);
}
