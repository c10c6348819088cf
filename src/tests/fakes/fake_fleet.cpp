#include "fakes/fake_fleet.hpp"

#include "settings/settings_reader.hpp"

#include <algorithm>

namespace cranberrywood::fakes {

namespace {

using namespace std::chrono_literals;

constexpr duration tick_interval = 10ms;
constexpr duration platform_delay = 5ms;
constexpr duration connect_delay = 6ms;
constexpr duration server_delay = 300us;
constexpr duration watch_life = 10s;
constexpr std::uint32_t most_hits = 100;

} // namespace

fake_fleet::fake_fleet(const sample_shape& shape, std::uint64_t seed)
    : m_random(seed), m_published(sample_value(revision_number(1), shape))
{
    const auto read = read_settings(m_published);
    const auto settings = std::get<accepted_settings>(read).of_site("site-0");
    for (const auto& vm : settings->all().vms) {
        member m;
        m.id = vm.id;
        m.name = vm.name;
        m.data_centre = vm.data_centre;
        m_vms.push_back(std::move(m));
    }
    for (const auto& server : settings->all().backend_servers) {
        const auto& service = *settings->find(server.service);
        m_servers.emplace(
            server.id,
            fake_backend_server(server, service, incarnation(m_random.next())));
    }
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        start(i);
    }
}

void fake_fleet::run_for(duration d)
{
    const time_point end = m_now + d;
    while (!m_actions.empty() && m_actions.top().at <= end) {
        const action next = m_actions.top();
        m_actions.pop();
        m_now = next.at;
        next.run();
    }
    m_now = end;
}

void fake_fleet::after(duration d, std::function<void()> run)
{
    m_actions.push({m_now + d, m_order++, std::move(run)});
}

duration fake_fleet::network_delay()
{
    const auto spread = m_faults.longest_delay - m_faults.shortest_delay;
    return m_faults.shortest_delay +
           duration(static_cast<duration::rep>(
               m_random.below(static_cast<std::uint64_t>(spread.count()) + 1)));
}

void fake_fleet::deliver(std::size_t vm, std::uint64_t generation, event e)
{
    member& m = m_vms[vm];
    if (m.process == nullptr || m.generation != generation) {
        return;
    }
    if (m.paused_until > m_now) {
        after(m.paused_until - m_now,
              [this, vm, generation, e] { deliver(vm, generation, e); });
        return;
    }
    ++m_steps;
    perform(vm, m.process->handle(e, m_now));
}

void fake_fleet::tick(std::size_t vm, std::uint64_t generation)
{
    member& m = m_vms[vm];
    if (m.process == nullptr || m.generation != generation) {
        return;
    }
    if (m.paused_until > m_now) {
        after(m.paused_until - m_now,
              [this, vm, generation] { tick(vm, generation); });
        return;
    }
    ++m_steps;
    after(tick_interval, [this, vm, generation] { tick(vm, generation); });
    perform(vm, m.process->tick(m_now));
}

void fake_fleet::perform(std::size_t vm, const commands& asked_for)
{
    m_steps += asked_for.size();
    for (const command& c : asked_for) {
        std::visit([this, vm](const auto& one) { perform(vm, one); }, c);
    }
}

void fake_fleet::perform(std::size_t vm, const send_to_peer& c)
{
    const std::size_t to = index_of(c.to);
    if (m_cuts.count({vm, to}) != 0 ||
        m_random.below(1000) < m_faults.loss_per_mille) {
        return;
    }
    const std::uint64_t generation = m_vms[to].generation;
    const bool twice = m_random.below(1000) < m_faults.duplicate_per_mille;
    for (int copies = twice ? 2 : 1; copies > 0; --copies) {
        after(network_delay(), [this, to, generation, e = c.envelope] {
            deliver(to, generation, peer_received{e});
        });
    }
}

void fake_fleet::perform(std::size_t vm, const open_backend& c)
{
    const std::uint64_t generation = m_vms[vm].generation;
    const backend_server_id id = c.backend_server;
    after(connect_delay, [this, vm, generation, id] {
        if (m_vms[vm].generation != generation) {
            return;
        }
        const fake_backend_server& s = m_servers.at(id);
        if (!s.up()) {
            deliver(vm, generation, backend_lost{id, false});
            return;
        }
        m_links.insert({vm, id});
        const auto links =
            std::count_if(m_links.begin(), m_links.end(),
                          [id](const link& l) { return l.second == id; });
        m_most_links =
            std::max(m_most_links, static_cast<std::uint32_t>(links));
        deliver(vm, generation, backend_connected{id, s.hello()});
    });
}

void fake_fleet::perform(std::size_t vm, const close_backend& c)
{
    m_links.erase({vm, c.backend_server});
    m_servers.at(c.backend_server).forget(m_vms[vm].id);
}

void fake_fleet::perform(std::size_t vm, const send_to_backend& c)
{
    if (m_links.count({vm, c.backend_server}) == 0) {
        return;
    }
    after(server_delay, [this, vm, c] {
        fake_backend_server& s = m_servers.at(c.backend_server);
        if (!s.up() || m_links.count({vm, c.backend_server}) == 0) {
            return;
        }
        const auto refused =
            s.take(m_vms[vm].id, c.request, m_now, m_random, m_executions);
        if (refused) {
            reply(*refused, c.backend_server);
        }
        if (!s.up()) {
            break_links(c.backend_server);
            return;
        }
        serve(c.backend_server);
    });
}

void fake_fleet::perform(std::size_t vm, const cancel_at_backend& c)
{
    const auto cancelled =
        m_servers.at(c.backend_server).cancel(m_vms[vm].id, c.cancel);
    if (cancelled) {
        reply(*cancelled, c.backend_server);
    }
}

void fake_fleet::perform(std::size_t, const answer_caller& c)
{
    caller_record& caller = m_callers.at(c.token.value() - 1);
    if (caller.answer) {
        ++caller.further_answers;
        return;
    }
    caller.answer = c.answer;
    caller.answered_at = m_now;
}

void fake_fleet::perform(std::size_t vm, const read_configuration& c)
{
    const std::uint64_t generation = m_vms[vm].generation;
    if (!m_platform_up) {
        after(platform_delay, [this, vm, generation] {
            deliver(vm, generation, configuration_unavailable{"no answer"});
        });
        return;
    }
    if (m_published.revision > c.newer_than) {
        after(platform_delay, [this, vm, generation] {
            deliver(vm, generation, configuration_read{m_published});
        });
        return;
    }
    m_vms[vm].watching = true;
    after(watch_life, [this, vm, generation] {
        if (m_vms[vm].generation == generation) {
            answer_watch(vm);
        }
    });
}

void fake_fleet::answer_watch(std::size_t vm)
{
    member& m = m_vms[vm];
    if (!m.watching) {
        return;
    }
    m.watching = false;
    if (m_platform_up) {
        deliver(vm, m.generation, configuration_read{m_published});
    } else {
        deliver(vm, m.generation, configuration_unavailable{"no answer"});
    }
}

void fake_fleet::perform(std::size_t vm, const read_vm_list&)
{
    if (!m_platform_up) {
        return;
    }
    const std::uint64_t generation = m_vms[vm].generation;
    after(platform_delay,
          [this, vm, generation] { deliver(vm, generation, m_listed); });
}

void fake_fleet::perform(std::size_t vm, const log_event& c)
{
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_now.time_since_epoch() - 1h);
    m_log.push_back(std::to_string(at.count()) + "ms " + m_vms[vm].name +
                    " CW" + std::to_string(c.code) + " " + c.text);
}

void fake_fleet::perform(std::size_t vm, const stop_process&)
{
    const std::uint64_t generation = m_vms[vm].generation;
    after(duration::zero(), [this, vm, generation] {
        if (m_vms[vm].generation == generation) {
            crash(vm);
        }
    });
}

void fake_fleet::perform(std::size_t, const settings_accepted&) {}

void fake_fleet::reply(const fake_backend_server::reply& r,
                       backend_server_id from)
{
    const std::size_t vm = index_of(r.to);
    const std::uint64_t generation = m_vms[vm].generation;
    after(server_delay, [this, vm, generation, r, from] {
        if (m_links.count({vm, from}) != 0) {
            deliver(vm, generation, backend_replied{from, r.body});
        }
    });
}

void fake_fleet::serve(backend_server_id id)
{
    const auto end = m_servers.at(id).next_end();
    if (!end) {
        return;
    }
    after(std::max(*end - m_now, duration::zero()), [this, id] {
        fake_backend_server& s = m_servers.at(id);
        const auto replies = s.finish(m_now, m_random, m_executions);
        for (const auto& r : replies) {
            reply(r, id);
        }
        if (!s.up()) {
            break_links(id);
        } else if (!replies.empty()) {
            serve(id);
        }
    });
}

void fake_fleet::break_links(backend_server_id id)
{
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        if (m_links.erase({vm, id}) != 0) {
            const std::uint64_t generation = m_vms[vm].generation;
            after(server_delay, [this, vm, generation, id] {
                deliver(vm, generation, backend_lost{id, true});
            });
        }
    }
}

std::size_t fake_fleet::index_of(vm_id id) const
{
    const auto found = std::find_if(m_vms.begin(), m_vms.end(),
                                    [id](const auto& m) { return m.id == id; });
    return static_cast<std::size_t>(found - m_vms.begin());
}

caller_token fake_fleet::submit(std::size_t vm, const std::string& workspace,
                                caller_request request)
{
    const caller_token token(m_callers.size() + 1);
    request.token = token;
    request.service = "search";
    request.key = "key-" + workspace;
    request.hit_limit = most_hits;
    m_callers.push_back({request, workspace, vm, m_now, {}, {}, 0});
    deliver(vm, m_vms[vm].generation, request);
    return token;
}

caller_token fake_fleet::query(std::size_t vm, const std::string& workspace,
                               const std::string& body, duration deadline)
{
    caller_request request;
    request.body = body;
    request.deadline = deadline;
    return submit(vm, workspace, std::move(request));
}

caller_token fake_fleet::lookup(std::size_t vm, const std::string& workspace,
                                const std::string& id, const std::string& body,
                                duration deadline)
{
    caller_request request;
    request.body = body;
    request.deadline = deadline;
    request.caller_request_id = id;
    request.lookup_key = stable_hash(id) % 1000;
    return submit(vm, workspace, std::move(request));
}

void fake_fleet::hang_up(caller_token token)
{
    const std::size_t vm = m_callers.at(token.value() - 1).vm;
    deliver(vm, m_vms[vm].generation, caller_gone{token});
}

void fake_fleet::crash(std::size_t vm)
{
    member& m = m_vms[vm];
    m.process.reset();
    ++m.generation;
    m.watching = false;
    for (auto& [id, s] : m_servers) {
        m_links.erase({vm, id});
        s.forget(m.id);
    }
}

void fake_fleet::start(std::size_t vm)
{
    member& m = m_vms[vm];
    if (m.process != nullptr) {
        return;
    }
    ++m.generation;
    m.paused_until = time_point();
    m.random = std::make_unique<seeded_random>(m_random.next());
    node_identity self;
    self.vm = m.id;
    self.process = incarnation(m_random.next() | 1U);
    self.data_centre = m.data_centre;
    self.site = "site-0";
    self.started = m_now;
    m.process = std::make_unique<node>(self, *m.random);
    const std::uint64_t generation = m.generation;
    after(duration::zero(), [this, vm, generation] { tick(vm, generation); });
    refresh_vm_list();
}

void fake_fleet::pause(std::size_t vm, duration d)
{
    m_vms[vm].paused_until = m_now + d;
}

void fake_fleet::leave(std::size_t vm)
{
    deliver(vm, m_vms[vm].generation, shutdown_requested{});
}

void fake_fleet::cut(std::size_t from, std::size_t to)
{
    m_cuts.insert({from, to});
}

void fake_fleet::heal()
{
    m_cuts.clear();
}

void fake_fleet::publish(const published_value& value)
{
    m_published = value;
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        answer_watch(vm);
    }
}

void fake_fleet::refresh_vm_list()
{
    m_listed.version = list_version(m_listed.version.value() + 1);
    m_listed.vms.clear();
    for (const auto& m : m_vms) {
        if (m.process != nullptr) {
            m_listed.vms.push_back({m.id, false});
        }
    }
}

fake_backend_server& fake_fleet::server(backend_server_id id)
{
    return m_servers.at(id);
}

std::vector<backend_server_id> fake_fleet::server_ids() const
{
    std::vector<backend_server_id> ids;
    for (const auto& [id, s] : m_servers) {
        ids.push_back(id);
    }
    return ids;
}

void fake_fleet::kill_server(backend_server_id id)
{
    m_servers.at(id).die();
    break_links(id);
}

void fake_fleet::restart_server(backend_server_id id)
{
    m_servers.at(id).restart(incarnation(m_random.next() | 1U));
    break_links(id);
}

node_status fake_fleet::status(std::size_t vm) const
{
    return m_vms[vm].process->status(m_now);
}

} // namespace cranberrywood::fakes
