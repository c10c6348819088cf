#include "soak/soak_world.hpp"

#include <algorithm>

namespace cranberrywood::soak {

namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t peer_port = 7000;
constexpr duration grace_for_tail = 3s;
constexpr std::uint64_t single_service = 100;
constexpr std::uint64_t requests_per_fatal = 200;
service_id service(std::uint64_t number)
{
    return id_of<service_id>("service-" + std::to_string(number));
}

std::string key_of(const std::string& workspace)
{
    return "key-" + workspace;
}

route base_route(const std::string& name)
{
    route r;
    r.name = name;
    r.host = "a";
    r.prefix = "/" + name + "/";
    r.max_sends = 2;
    r.timeout = 2s;
    r.target_latency = 200ms;
    return r;
}

} // namespace

std::string vm_address(std::size_t vm)
{
    return "10.0.0." + std::to_string(vm + 1) + ":" + std::to_string(peer_port);
}

std::vector<workspace_limit> soak_world::workspaces()
{
    return {{steady_workspace, 120.0, 60.0}, {pressing_workspace, 20.0, 10.0}};
}

soak_world::soak_world(std::uint64_t seed, soak_shape shape)
    : m_shape(shape), m_random(seed), m_vms(shape.vms)
{
    const auto add = [&](std::uint64_t number) {
        for (std::uint64_t i = 0; i < m_shape.servers_per_service; ++i) {
            soak_server server;
            server.entry.name =
                "s" + std::to_string(number) + "-" + std::to_string(i);
            server.entry.id = id_of<backend_server_id>(server.entry.name);
            server.entry.service = service(number);
            server.entry.address = {"10.1.0.1",
                                    static_cast<std::uint16_t>(
                                        first_server_port + m_servers.size())};
            server.entry.data_centre = data_centre_id(1 + i);
            server.entry.slots = 4;
            server.entry.born_ms = 1;
            server.entry.sequence = 1;
            m_servers.push_back(server);
        }
    };
    for (std::uint64_t shard = 0; shard < m_shape.shards; ++shard) {
        add(shard);
    }
    add(single_service);
    publish("");
    for (std::size_t index = 0; index < m_vms.size(); ++index) {
        start_vm(index);
    }
}

void soak_world::play(duration with_faults, duration without)
{
    run_until(m_now + 5s);
    m_asking = m_faults = true;
    next_request();
    next_fault();
    run_until(m_now + with_faults);
    m_faults = false;
    end_faults();
    run_until(m_now + without);
    m_quiet = true;
    run_until(m_now + without);
    finish();
    for (const asked_request& request : m_trace.requests) {
        // Only what was asked when everything had recovered.
        if (request.at + without + grace_for_tail < m_now ||
            !request.repeatable || request.workspace != steady_workspace) {
            continue;
        }
        ++m_trace.asked_after_faults;
        const bool served =
            !request.answers.empty() &&
            (std::holds_alternative<relayed_answer>(request.answers[0]) ||
             std::holds_alternative<gathered_answer>(request.answers[0]));
        m_trace.served_after_faults += served ? 1 : 0;
    }
}

void soak_world::play_steady(duration length)
{
    const bool asked_before = std::exchange(m_asking, true);
    if (!asked_before) {
        next_request();
    }
    run_until(m_now + length);
}

void soak_world::finish()
{
    m_asking = false;
    run_until(m_now + grace_for_tail);
}

void soak_world::after(duration delay, std::function<void()> run)
{
    m_due.push({m_now + delay, ++m_order, std::move(run)});
}

void soak_world::in_process(std::size_t index, std::uint64_t process,
                            std::function<void()> run)
{
    vm& v = m_vms[index];
    if (v.core == nullptr || v.process != process) {
        return;
    }
    if (m_now < v.frozen_until) {
        after(v.frozen_until - m_now,
              [this, index, process, run] { in_process(index, process, run); });
        return;
    }
    run();
}

void soak_world::run_until(time_point end)
{
    while (!m_due.empty() && m_due.top().at <= end) {
        const due next = m_due.top();
        m_due.pop();
        m_now = next.at;
        next.run();
    }
    m_now = end;
}

void soak_world::start_vm(std::size_t index)
{
    vm& v = m_vms[index];
    if (v.core != nullptr) {
        return;
    }
    gateway_settings settings;
    settings.extra_send_percent = 20;
    settings.extra_send_allowance = 54;
    settings.member = {vm_address(index), {vm_address(0), vm_address(1)}};
    settings.member.origin.first_start = m_processes < m_vms.size();
    settings.member.origin.data_centre = data_centre_id(1 + index % 3);
    v.random = std::make_unique<seeded_random>(m_random.next());
    v.core = std::make_unique<gateway>(settings, *v.random, m_now);
    v.process = ++m_processes;
    v.version = 0;
    v.leaving.clear();
    v.wakeup.reset();
    v.store_cut = false;
    plan(index);
    feed(index, store_reachability_changed{true});
    tell_store(index);
    tell_servers(index);
}

void soak_world::kill_vm(std::size_t index)
{
    vm& v = m_vms[index];
    for (const auto& [token, request] : v.callers) {
        m_trace.requests[request].disturbed = true;
    }
    v.callers.clear();
    end_relays_of(index);
    v.core.reset();
    after(500ms + delay() * 100, [this, index] { start_vm(index); });
}

void soak_world::freeze_vm(std::size_t index)
{
    vm& v = m_vms[index];
    const duration length = 200ms * static_cast<int>(1 + m_random.below(20));
    v.frozen_until = std::max(v.frozen_until, m_now + length);
    for (const auto& [token, request] : v.callers) {
        m_trace.requests[request].disturbed = true;
    }
}

void soak_world::feed(std::size_t index, const gateway_event& event)
{
    vm& v = m_vms[index];
    if (v.core != nullptr) {
        perform(index, v.core->handle(event, m_now));
        plan(index);
    }
}

void soak_world::plan(std::size_t index)
{
    vm& v = m_vms[index];
    const auto next = v.core->next_wakeup();
    if (!next || (v.wakeup && *v.wakeup <= *next)) {
        return;
    }
    v.wakeup = next;
    const std::uint64_t process = v.process;
    after(std::max<duration>(*next - m_now, 0ms), [this, index, process] {
        in_process(index, process, [this, index] {
            m_vms[index].wakeup.reset();
            perform(index, m_vms[index].core->tick(m_now));
            plan(index);
        });
    });
}

void soak_world::perform(std::size_t index, const gateway_commands& commands)
{
    m_commands += commands.size();
    for (const gateway_command& command : commands) {
        if (const auto* begin = std::get_if<start_exchange>(&command)) {
            start(index, *begin);
        } else if (const auto* to = std::get_if<answer_to_caller>(&command)) {
            answer(index, *to);
        } else if (const auto* datagram =
                       std::get_if<send_datagram>(&command)) {
            send(index, *datagram);
        } else if (const auto* asked = std::get_if<start_relay>(&command)) {
            relay(index, *asked);
        } else if (const auto* relayed = std::get_if<answer_relay>(&command)) {
            answer_peer(*relayed);
        } else if (const auto* over = std::get_if<cancel_exchange>(&command)) {
            cancel(index, over->exchange);
        } else if (const auto* probed = std::get_if<probe_server>(&command)) {
            probe(index, *probed);
        } else if (const auto* line = std::get_if<gateway_log>(&command)) {
            m_log.push_back("vm=" + std::to_string(index) + " CW" +
                            std::to_string(line->code) + " " + line->text);
        }
    }
}

// The store.

void soak_world::publish(const std::string& withdrawn)
{
    auto read = std::make_shared<catalogue>();
    read->version = m_versions.size() + 1;
    route orders = base_route("orders");
    orders.target = forward_target{{{service(single_service), 1}}};
    read->add_route(orders);
    route reads = base_route("reads");
    reads.target = orders.target;
    reads.repeatable = true;
    read->add_route(reads);
    route search = base_route("search");
    search.repeatable = true;
    gather_target from;
    from.top_records = 3;
    from.least_share = 0.6;
    for (std::uint64_t shard = 0; shard < m_shape.shards; ++shard) {
        from.shards.push_back(service(shard));
    }
    search.target = from;
    read->add_route(search);
    for (const soak_server& server : m_servers) {
        service_entry entry;
        entry.name = std::to_string(server.entry.service.value());
        entry.connections = 60;
        read->add_service(entry);
    }
    for (const workspace_limit& limit : workspaces()) {
        workspace_entry entry;
        entry.id = id_of<workspace_id>(limit.name);
        entry.name = limit.name;
        entry.rate = limit.rate;
        entry.burst = limit.burst;
        const std::string key =
            limit.name == withdrawn ? "another key" : key_of(limit.name);
        read->add_workspace(entry, {key});
    }
    m_versions.push_back({read, withdrawn});
    for (std::size_t index = 0; index < m_vms.size(); ++index) {
        tell_store(index);
    }
}

void soak_world::tell_store(std::size_t index)
{
    const std::uint64_t process = m_vms[index].process;
    after(delay() * 10, [this, index, process] {
        in_process(index, process, [this, index] {
            vm& v = m_vms[index];
            if (v.store_cut || v.version >= m_versions.size()) {
                return;
            }
            v.version = m_versions.size();
            feed(index, catalogue_read{m_versions.back().read});
        });
    });
}

void soak_world::report_servers()
{
    for (std::size_t index = 0; index < m_vms.size(); ++index) {
        tell_servers(index);
    }
}

void soak_world::tell_servers(std::size_t index)
{
    const std::uint64_t process = m_vms[index].process;
    after(delay() * 10, [this, index, process] {
        in_process(index, process, [this, index] {
            vm& v = m_vms[index];
            if (v.store_cut) {
                return;
            }
            servers_reported report;
            report.whole_list = true;
            v.leaving.clear();
            for (const soak_server& server : m_servers) {
                if (server.listed) {
                    report.entries.push_back(server.entry);
                }
                if (!server.listed || server.entry.draining) {
                    v.leaving.insert(server.entry.id);
                }
            }
            feed(index, report);
        });
    });
}

// VMs and callers.

void soak_world::send(std::size_t from, const send_datagram& command)
{
    for (std::size_t to = 0; to < m_vms.size(); ++to) {
        if (vm_address(to) != command.to || m_cuts.count({from, to}) != 0 ||
            m_random.below(1000) < m_loss_per_mille) {
            continue;
        }
        const std::uint64_t process = m_vms[to].process;
        const gateway_datagram datagram = command.datagram;
        const std::uint64_t copies = m_random.below(50) == 0 ? 2 : 1;
        for (std::uint64_t copy = 0; copy < copies; ++copy) {
            after(delay(), [this, from, to, process, datagram] {
                in_process(to, process, [this, from, to, datagram] {
                    feed(to, datagram_received{vm_address(from), datagram});
                });
            });
        }
    }
}

void soak_world::answer(std::size_t index, const answer_to_caller& command)
{
    vm& v = m_vms[index];
    const auto caller = v.callers.find(command.token);
    if (caller == v.callers.end()) {
        // An answer to a caller that left or has its answer: the checker
        // finds it as one too many.
        m_trace.requests.front().answers.push_back(command.answer);
        return;
    }
    asked_request& request = m_trace.requests[caller->second];
    request.answers.push_back(command.answer);
    request.answered_at = m_now;
    v.callers.erase(caller);
}

void soak_world::next_request()
{
    if (!m_asking) {
        return;
    }
    ask();
    const auto gap = static_cast<std::uint64_t>(m_shape.request_gap.count());
    after(duration(static_cast<duration::rep>(m_random.below(2 * gap))),
          [this] { next_request(); });
}

void soak_world::ask()
{
    const std::size_t index = m_random.below(m_vms.size());
    vm& v = m_vms[index];
    if (v.core == nullptr || v.version == 0 || m_now < v.frozen_until) {
        return;
    }
    const std::string workspace =
        m_random.below(3) == 0 ? pressing_workspace : steady_workspace;
    const char* paths[] = {"/orders/", "/reads/", "/search/", "/search/"};
    request_received asked;
    asked.token = caller_token(++m_next_token);
    asked.host = "a";
    const bool fatal = m_faults && m_random.below(requests_per_fatal) == 0;
    asked.path = paths[m_random.below(4)] +
                 (fatal ? fatal_path : std::to_string(m_next_token));
    asked.key = key_of(workspace);
    asked.deadline = 200ms * (1 + m_random.below(8));
    asked.arrived = m_now;
    auto outbound = std::make_shared<outbound_request>();
    outbound->id = "request-" + std::to_string(m_next_token);
    outbound->method = "GET";
    outbound->target = asked.path;
    asked.outbound = outbound;

    const catalogue& settings = *m_versions[v.version - 1].read;
    const auto terms = settings.find_route(asked.host, asked.path);
    asked_request request;
    request.id = outbound->id;
    request.vm = index;
    request.workspace = workspace;
    request.at = m_now;
    request.deadline = m_now + std::min(asked.deadline, terms->timeout);
    request.repeatable = terms->repeatable;
    request.allowed = m_versions[v.version - 1].withdrawn != workspace;
    if (const auto* from = std::get_if<gather_target>(&terms->target)) {
        request.services = from->shards;
    } else {
        request.services = {service(single_service)};
    }
    m_trace.requests.push_back(request);
    v.callers[asked.token] = m_trace.requests.size() - 1;
    feed(index, asked);
    if (m_random.below(40) == 0 && v.callers.count(asked.token) != 0) {
        m_trace.requests[v.callers[asked.token]].disturbed = true;
        v.callers.erase(asked.token);
        feed(index, caller_disconnected{asked.token});
    }
}

duration soak_world::delay()
{
    return std::chrono::microseconds(500 + m_random.below(4000));
}

} // namespace cranberrywood::soak
