#include "fakes/lease_cluster.hpp"

#include <algorithm>

namespace cranberrywood::fakes {

namespace {

constexpr duration tick_every = std::chrono::milliseconds(20);

// Clocks differ by up to the 1000 millionths that the settings allow.
constexpr std::int64_t max_rate_ppm = 499;

time_point clock_at(time_point reference, std::int64_t rate_ppm)
{
    return reference + reference.time_since_epoch() / 1000000 * rate_ppm;
}

} // namespace

struct lease_cluster::process
{
    process(const node_identity& identity, std::uint64_t seed,
            const lease_policy& policy)
        : self(identity), random(seed), sessions(identity), beats(identity),
          leases(identity, random, beats, policy)
    {
    }

    node_identity self;
    std::size_t vm = 0;
    std::int64_t rate_ppm = 0;
    time_point paused_until;
    bool replaced = false;
    revision_number revision;
    seeded_random random;
    peer_sessions sessions;
    heartbeats beats;
    role_leases leases;
    outbox out;

    time_point clock(time_point reference) const
    {
        return clock_at(reference, rate_ppm);
    }
};

struct lease_cluster::receiver
{
    process& p;
    vm_id from;
    time_point now;

    void operator()(const heartbeat& m)
    {
        p.beats.receive(from, m, now, p.out);
    }
    void operator()(const lease_ask& m)
    {
        p.leases.receive(from, m, now, p.out);
    }
    void operator()(const lease_grant& m)
    {
        p.leases.receive(from, m, now, p.out);
    }
    void operator()(const lease_release& m)
    {
        p.leases.receive(from, m, now, p.out);
    }
    void operator()(const role_release_request& m)
    {
        p.leases.receive(from, m, now, p.out);
    }
    void operator()(const holder_query& m)
    {
        p.leases.receive(from, m, now, p.out);
    }
    void operator()(const holder_report& m)
    {
        p.leases.receive(from, m, now, p.out);
    }
    template <class Other>
    void operator()(const Other&)
    {
    }
};

lease_cluster::lease_cluster(std::uint32_t vms, const settings& s,
                             std::uint64_t seed, const lease_policy& policy)
    : m_random(seed), m_policy(policy)
{
    for (std::uint32_t i = 0; i < vms; ++i) {
        m_ids.push_back(id_of<vm_id>("vm-" + std::to_string(i)));
    }
    m_published = std::make_shared<const settings_index>(s);
    m_map = std::make_unique<role_map>(m_published);
}

lease_cluster::~lease_cluster() = default;

void lease_cluster::start(std::size_t vm)
{
    kill(vm);
    spawn(vm);
}

void lease_cluster::kill(std::size_t vm)
{
    const auto gone = std::remove_if(
        m_processes.begin(), m_processes.end(),
        [vm](const auto& p) { return p->vm == vm && !p->replaced; });
    m_processes.erase(gone, m_processes.end());
}

void lease_cluster::start_beside(std::size_t vm)
{
    if (process* old = present(vm)) {
        old->replaced = true;
    }
    spawn(vm);
}

void lease_cluster::kill_replaced()
{
    const auto gone = std::remove_if(m_processes.begin(), m_processes.end(),
                                     [](const auto& p) { return p->replaced; });
    m_processes.erase(gone, m_processes.end());
}

void lease_cluster::pause(std::size_t vm, duration length)
{
    if (process* p = present(vm)) {
        p->paused_until = m_time + length;
    }
}

void lease_cluster::leave(std::size_t vm)
{
    if (process* p = present(vm)) {
        const time_point now = p->clock(m_time);
        p->beats.leave(now, p->out);
        p->leases.leave(now, p->out);
        settle(*p);
    }
}

void lease_cluster::block(std::size_t from, std::size_t to, bool blocked)
{
    if (blocked) {
        m_blocked.insert({from, to});
    } else {
        m_blocked.erase({from, to});
    }
}

void lease_cluster::open_all()
{
    m_blocked.clear();
}

void lease_cluster::publish(const settings& s, duration longest_delay)
{
    m_published = std::make_shared<const settings_index>(s);
    m_map = std::make_unique<role_map>(m_published);
    for (const auto& p : m_processes) {
        const incarnation target = p->self.process;
        const auto taken = m_published;
        at(m_time + between(duration(0), longest_delay),
           [this, target, taken] { take(target, taken); });
    }
}

void lease_cluster::take(incarnation target,
                         const std::shared_ptr<const settings_index>& taken)
{
    process* p = find(target);
    if (p == nullptr || p->revision >= taken->all().revision) {
        return;
    }
    p->revision = taken->all().revision;
    const time_point now = p->clock(m_time);
    p->beats.settings_changed(taken, now);
    p->leases.settings_changed(taken, now, p->out);
    settle(*p);
}

void lease_cluster::give_list(const vm_list_read& list)
{
    for (const auto& p : m_processes) {
        p->beats.vm_list_changed(list);
    }
}

void lease_cluster::run(duration length)
{
    const time_point end = m_time + length;
    while (!m_agenda.empty() && m_agenda.begin()->first <= end &&
           m_violation.empty()) {
        const auto first = m_agenda.begin();
        m_time = std::max(m_time, first->first);
        const std::function<void()> action = std::move(first->second);
        m_agenda.erase(first);
        action();
        ++m_steps;
        check();
    }
    m_time = end;
}

std::vector<std::size_t> lease_cluster::holders(role_group_id group) const
{
    std::vector<std::size_t> found;
    for (const auto& p : m_processes) {
        if (p->leases.holds(group, p->clock(m_time))) {
            found.push_back(p->vm);
        }
    }
    return found;
}

bool lease_cluster::is_running(std::size_t vm) const
{
    return present(vm) != nullptr;
}

role_leases& lease_cluster::leases(std::size_t vm)
{
    return present(vm)->leases;
}

bool lease_cluster::all_held_by_first_live() const
{
    for (const role_group_id group : m_map->groups()) {
        std::size_t best = m_ids.size();
        for (const vm_id vm : m_map->candidates(group)) {
            if (is_running(index_of(vm))) {
                best = index_of(vm);
                break;
            }
        }
        if (holders(group) != std::vector<std::size_t>{best}) {
            return false;
        }
    }
    return true;
}

void lease_cluster::spawn(std::size_t vm)
{
    node_identity self;
    self.vm = m_ids[vm];
    self.process = incarnation(m_next_incarnation++);
    const std::uint64_t width = 2 * max_rate_ppm + 1;
    const auto rate = static_cast<std::int64_t>(m_random.below(width));
    const std::int64_t rate_ppm = rate - max_rate_ppm;
    self.started = clock_at(m_time, rate_ppm);
    auto p = std::make_unique<process>(self, m_random.next(), m_policy);
    p->vm = vm;
    p->rate_ppm = rate_ppm;
    p->revision = m_published->all().revision;
    p->beats.settings_changed(m_published, self.started);
    p->leases.settings_changed(m_published, self.started, p->out);
    m_processes.push_back(std::move(p));
    step(*m_processes.back());
}

lease_cluster::process* lease_cluster::present(std::size_t vm) const
{
    for (const auto& p : m_processes) {
        if (p->vm == vm && !p->replaced) {
            return p.get();
        }
    }
    return nullptr;
}

lease_cluster::process* lease_cluster::find(incarnation target) const
{
    for (const auto& p : m_processes) {
        if (p->self.process == target) {
            return p.get();
        }
    }
    return nullptr;
}

void lease_cluster::step(process& p)
{
    if (m_time >= p.paused_until) {
        p.beats.tick(p.clock(m_time), p.out);
        settle(p);
    }
    const incarnation target = p.self.process;
    const time_point next = std::max(m_time, p.paused_until) + tick_every;
    at(next + between(duration(0), tick_every), [this, target] {
        if (process* running = find(target)) {
            step(*running);
        }
    });
}

void lease_cluster::deliver(process& p, const peer_envelope& envelope)
{
    const time_point now = p.clock(m_time);
    const bool accepted = p.sessions.accept(envelope);
    for (const vm_id vm : p.sessions.take_restarted()) {
        p.beats.peer_restarted(vm);
        p.leases.peer_restarted(vm);
    }
    for (const vm_id vm : p.sessions.take_misaddressed()) {
        p.beats.introduce_to(vm, now, p.out);
    }
    if (accepted) {
        p.beats.heard(envelope.from, now);
        std::visit(receiver{p, envelope.from, now}, envelope.body);
    }
    settle(p);
}

// Runs a process's tick and sends what it has to send, until it is at rest.
void lease_cluster::settle(process& p)
{
    const time_point now = p.clock(m_time);
    p.leases.tick(now, p.out);
    for (const role_change& change : p.leases.take_changes()) {
        if (change.what == role_change::kind::release_wanted) {
            drain(p, change.group);
        }
    }
    p.out.take_commands();
    std::vector<outbox::addressed> messages = p.out.take_peer_messages();
    while (!messages.empty()) {
        for (outbox::addressed& message : messages) {
            send(p, message.to, std::move(message.body));
        }
        messages = p.out.take_peer_messages();
    }
}

void lease_cluster::drain(process& p, role_group_id group)
{
    const incarnation target = p.self.process;
    at(m_time + between(duration(0), longest_drain), [this, target, group] {
        if (process* holder = find(target)) {
            const time_point now = holder->clock(m_time);
            holder->leases.release(group, now, holder->out);
            settle(*holder);
        }
    });
}

void lease_cluster::send(process& p, vm_id to, peer_message body)
{
    auto envelope = p.sessions.wrap(to, std::move(body));
    if (!envelope) {
        p.beats.introduce_to(to, p.clock(m_time), p.out);
        return;
    }
    if (to == p.self.vm) {
        const incarnation target = p.self.process;
        at(m_time, [this, target, sent = *envelope] { arrive(target, sent); });
        return;
    }
    const bool blocked = m_blocked.count({p.vm, index_of(to)}) != 0;
    if (blocked || m_random.below(1000) < links.lost) {
        return;
    }
    post(*envelope, to);
    if (m_random.below(1000) < links.doubled) {
        post(*envelope, to);
    }
}

// A VM's address leads to one process at a time: one that was replaced may
// still send, but nothing reaches it.
void lease_cluster::post(const peer_envelope& envelope, vm_id to)
{
    at(m_time + between(links.shortest, links.longest), [this, envelope, to] {
        if (const process* p = present(index_of(to))) {
            arrive(p->self.process, envelope);
        }
    });
}

void lease_cluster::arrive(incarnation target, const peer_envelope& envelope)
{
    process* p = find(target);
    if (p == nullptr) {
        return;
    }
    if (m_time < p->paused_until) {
        at(p->paused_until,
           [this, target, envelope] { arrive(target, envelope); });
        return;
    }
    deliver(*p, envelope);
}

void lease_cluster::check()
{
    for (const role_group_id group : m_map->groups()) {
        const std::vector<std::size_t> found = holders(group);
        if (found.size() > 1 && m_violation.empty()) {
            m_violation = "group " + std::to_string(group.value()) +
                          " is held by vm-" + std::to_string(found[0]) +
                          " and vm-" + std::to_string(found[1]);
        }
    }
}

void lease_cluster::at(time_point when, std::function<void()> action)
{
    m_agenda.emplace(when, std::move(action));
}

duration lease_cluster::between(duration least, duration most)
{
    const auto width = static_cast<std::uint64_t>((most - least).count()) + 1;
    return least + duration(static_cast<duration::rep>(m_random.below(width)));
}

std::size_t lease_cluster::index_of(vm_id vm) const
{
    const auto found = std::find(m_ids.begin(), m_ids.end(), vm);
    return static_cast<std::size_t>(found - m_ids.begin());
}

} // namespace cranberrywood::fakes
