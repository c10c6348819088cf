#ifndef CRANBERRYWOOD_TESTS_BENCH_MODEL_FLEET_HPP
#define CRANBERRYWOOD_TESTS_BENCH_MODEL_FLEET_HPP

#include "bench/model_entry.hpp"
#include "bench/model_server.hpp"
#include "fakes/manual_role_view.hpp"
#include "systems/servers/owner_dispatch.hpp"

namespace cranberrywood::bench {

/** Delays between VMs and backend servers, one way. */
struct distances
{
    duration within = std::chrono::microseconds(100);
    duration between = std::chrono::microseconds(1500);
};

/** VMs and backend servers joined by delays, on one simulated clock. */
class model_fleet : public entry_surroundings
{
public:
    model_fleet(settings s, policy p, server_behaviour b, distances d);

    /** Warms all servers and opens all links. */
    void begin(bool warm);
    /** Sends queries of a workspace at a mean rate until a time. */
    void load(workspace_id workspace, double rate, time_point until);
    /** Puts changed settings in force everywhere. */
    void change_settings(settings s);
    /** Ends a server's process; it restarts after a pause. */
    void crash(backend_server_id id, duration pause);

    std::map<backend_server_id, model_server>& servers()
    {
        return m_servers;
    }
    const std::vector<ended_query>& queries() const
    {
        return m_ended;
    }
    std::uint64_t first_sends() const
    {
        return sum([](const vm& v) { return v.entry.first_sends; });
    }
    std::uint64_t extra_sends() const
    {
        return sum([](const vm& v) { return v.entry.extra_sends; });
    }
    std::uint32_t fall_overs() const
    {
        std::uint32_t total = 0;
        for (const auto& [id, server] : m_servers) {
            total += server.fall_overs;
        }
        return total;
    }

    timeline& time() override
    {
        return m_time;
    }
    const settings_index& current() const override
    {
        return *m_settings;
    }
    const policy& policies() const override
    {
        return m_policy;
    }
    random_source& random() override
    {
        return m_random;
    }
    vm_id owner_of(backend_server_id server) const override
    {
        return m_owner_of.at(server);
    }
    void send(vm_id from, vm_id to, owner_request request) override;
    void send(vm_id from, vm_id to, owner_cancel cancel) override;
    void ended(const ended_query& query) override
    {
        m_ended.push_back(query);
    }

private:
    class no_rules : public send_gate
    {
    public:
        std::optional<shard_outcome> forbids(const owner_request& /*request*/,
                                             const shard_ask& /*ask*/,
                                             time_point /*now*/) const override
        {
            return std::nullopt;
        }
    };
    struct vm
    {
        vm(const vm_settings& self, std::uint64_t number, model_fleet& fleet)
            : centre(self.data_centre), roles(fleet.m_settings),
              dispatch(roles, fleet.m_gate, fleet.m_random),
              entry(self.id, self.data_centre, number, fleet)
        {
            roles.hold_all_until(time_point::max());
        }

        data_centre_id centre;
        fakes::manual_role_view roles;
        owner_dispatch dispatch;
        model_entry entry;
        outbox out;
    };

    template <class Count>
    std::uint64_t sum(Count count) const
    {
        std::uint64_t total = 0;
        for (const auto& [id, v] : m_vms) {
            total += count(*v);
        }
        return total;
    }
    duration distance(data_centre_id a, data_centre_id b) const
    {
        return a == b ? m_distances.within : m_distances.between;
    }
    duration distance(vm_id a, vm_id b) const
    {
        return a == b ? duration::zero()
                      : distance(m_vms.at(a)->centre, m_vms.at(b)->centre);
    }
    duration distance(backend_server_id server) const
    {
        return distance(m_settings->find(server)->data_centre,
                        m_vms.at(owner_of(server))->centre);
    }
    void tick(vm_id id);
    void arrive(vm_id id, double rate, workspace_id workspace,
                time_point until);
    void settle(vm_id id);
    void carry_out(const command& c);
    void open(backend_server_id id);
    void deliver(backend_server_id id, const backend_request& request);
    void stop(backend_server_id id, sub_request_id request);
    void run(backend_server_id id);
    void reply(backend_server_id id, sub_request_id request,
               backend_outcome outcome);
    void lose(backend_server_id id, bool was_connected);

    std::shared_ptr<const settings_index> m_settings;
    policy m_policy;
    server_behaviour m_behaviour;
    distances m_distances;
    timeline m_time;
    seeded_random m_random{20261204};
    no_rules m_gate;
    service_settings m_true_service;
    std::map<vm_id, std::unique_ptr<vm>> m_vms;
    std::map<backend_server_id, vm_id> m_owner_of;
    std::map<backend_server_id, model_server> m_servers;
    std::vector<ended_query> m_ended;
};

inline model_fleet::model_fleet(settings s, policy p, server_behaviour b,
                                distances d)
    : m_policy(p), m_behaviour(b), m_distances(d),
      m_true_service(s.services.front())
{
    // The baseline of a fixed window takes every server for warm.
    if (!p.window) {
        s.services.front().cold_limit = s.services.front().slots;
    }
    m_settings = std::make_shared<const settings_index>(std::move(s));
    std::uint64_t number = 0;
    for (const auto& self : m_settings->all().vms) {
        m_vms.emplace(self.id, std::make_unique<vm>(self, ++number, *this));
    }
    const role_map map(m_settings);
    for (const auto& server : m_settings->all().backend_servers) {
        m_owner_of[server.id] = map.candidates(map.owner_group(server)).front();
        m_servers.emplace(
            std::piecewise_construct, std::forward_as_tuple(server.id),
            std::forward_as_tuple(m_true_service, m_behaviour, m_random));
    }
}

inline void model_fleet::begin(bool warm)
{
    for (auto& [id, v] : m_vms) {
        v->dispatch.settings_changed(m_settings, m_time.now(), v->out);
        v->entry.settings_changed(m_settings);
        m_time.after(duration::zero(), [this, vm = id] { tick(vm); });
    }
    for (auto& [id, server] : m_servers) {
        if (warm) {
            server.make_warm();
        }
        vm& owner = *m_vms.at(owner_of(id));
        owner.dispatch.start_owning(id, m_time.now(), owner.out);
    }
}

inline void model_fleet::change_settings(settings s)
{
    m_settings = std::make_shared<const settings_index>(std::move(s));
    for (auto& [id, v] : m_vms) {
        v->dispatch.settings_changed(m_settings, m_time.now(), v->out);
        v->entry.settings_changed(m_settings);
        settle(id);
    }
}

inline void model_fleet::tick(vm_id id)
{
    vm& v = *m_vms.at(id);
    v.dispatch.tick(m_time.now(), v.out);
    settle(id);
    m_time.after(std::chrono::milliseconds(10), [this, id] { tick(id); });
}

inline void model_fleet::load(workspace_id workspace, double rate,
                              time_point until)
{
    const double share = rate / static_cast<double>(m_vms.size());
    for (const auto& [id, v] : m_vms) {
        m_time.after(duration::zero(),
                     [=, vm = id] { arrive(vm, share, workspace, until); });
    }
}

inline void model_fleet::arrive(vm_id id, double rate, workspace_id workspace,
                                time_point until)
{
    constexpr std::uint64_t steps = 1U << 30U;
    const double u = (static_cast<double>(m_random.below(steps)) + 0.5) /
                     static_cast<double>(steps);
    const duration gap(static_cast<duration::rep>(-std::log(u) / rate * 1e9));
    if (m_time.now() + gap >= until) {
        return;
    }
    m_time.after(gap, [=] {
        m_vms.at(id)->entry.start(workspace, m_true_service.default_deadline);
        arrive(id, rate, workspace, until);
    });
}

inline void model_fleet::send(vm_id from, vm_id to, owner_request request)
{
    m_time.after(distance(from, to), [=, r = std::move(request)] {
        vm& v = *m_vms.at(to);
        v.dispatch.receive(from, r, m_time.now(), v.out);
        settle(to);
    });
}

inline void model_fleet::send(vm_id from, vm_id to, owner_cancel cancel)
{
    m_time.after(distance(from, to), [=, c = std::move(cancel)] {
        vm& v = *m_vms.at(to);
        v.dispatch.receive(from, c, m_time.now(), v.out);
        settle(to);
    });
}

inline void model_fleet::settle(vm_id id)
{
    vm& v = *m_vms.at(id);
    v.dispatch.flush(m_time.now(), v.out);
    for (auto& message : v.out.take_peer_messages()) {
        const auto arrived = std::get<owner_reply>(std::move(message.body));
        m_time.after(distance(id, message.to),
                     [this, to = message.to, arrived] {
                         m_vms.at(to)->entry.receive(arrived);
                     });
    }
    for (const auto& c : v.out.take_commands()) {
        carry_out(c);
    }
}

inline void model_fleet::carry_out(const command& c)
{
    if (const auto* opens = std::get_if<open_backend>(&c)) {
        const auto id = opens->backend_server;
        m_time.after(m_true_service.connection_cost, [this, id] { open(id); });
    } else if (const auto* sends = std::get_if<send_to_backend>(&c)) {
        const auto id = sends->backend_server;
        m_time.after(distance(id),
                     [this, id, r = sends->request] { deliver(id, r); });
    } else if (const auto* cancels = std::get_if<cancel_at_backend>(&c)) {
        const auto id = cancels->backend_server;
        m_time.after(distance(id), [this, id, request = cancels->cancel.id] {
            stop(id, request);
        });
    }
}

inline void model_fleet::open(backend_server_id id)
{
    if (!m_servers.at(id).up) {
        lose(id, false);
        return;
    }
    vm& v = *m_vms.at(owner_of(id));
    backend_hello hello;
    hello.server = incarnation(m_servers.at(id).process);
    hello.oldest = hello.newest = m_true_service.index;
    v.dispatch.connected({id, hello}, m_time.now(), v.out);
    settle(owner_of(id));
}

inline void model_fleet::deliver(backend_server_id id,
                                 const backend_request& request)
{
    model_server& server = m_servers.at(id);
    if (!server.up) {
        return;
    }
    if (!server.take(request.id)) {
        reply(id, request.id, backend_outcome::shed);
        return;
    }
    if (!server.up) {
        crash(id, std::chrono::seconds(1));
        return;
    }
    run(id);
}

inline void model_fleet::run(backend_server_id id)
{
    model_server& server = m_servers.at(id);
    for (const auto& s : server.start()) {
        const auto process = server.process;
        m_time.after(s.work, [=, request = s.id] {
            model_server& ran = m_servers.at(id);
            if (ran.process == process && ran.finish(request)) {
                reply(id, request, backend_outcome::done);
                run(id);
            }
        });
    }
}

inline void model_fleet::stop(backend_server_id id, sub_request_id request)
{
    if (m_servers.at(id).cancel(request)) {
        reply(id, request, backend_outcome::cancelled);
        run(id);
    }
}

inline void model_fleet::reply(backend_server_id id, sub_request_id request,
                               backend_outcome outcome)
{
    backend_reply r;
    r.id = request;
    r.outcome = outcome;
    r.index = r.oldest = r.newest = m_true_service.index;
    m_time.after(distance(id), [this, id, r] {
        vm& v = *m_vms.at(owner_of(id));
        v.dispatch.replied({id, r}, m_time.now(), v.out);
        settle(owner_of(id));
    });
}

inline void model_fleet::crash(backend_server_id id, duration pause)
{
    m_servers.at(id).die();
    m_time.after(distance(id), [this, id] { lose(id, true); });
    m_time.after(pause, [this, id] { m_servers.at(id).restart(); });
}

inline void model_fleet::lose(backend_server_id id, bool was_connected)
{
    vm& v = *m_vms.at(owner_of(id));
    v.dispatch.lost({id, was_connected}, m_time.now(), v.out);
    settle(owner_of(id));
}

} // namespace cranberrywood::bench

#endif
