#include "fakes/rate_fleet.hpp"

namespace cranberrywood::fakes {

namespace {

constexpr duration tick_every = std::chrono::milliseconds(10);
constexpr duration lease = std::chrono::seconds(3);

} // namespace

rate_fleet::rate_fleet(std::shared_ptr<const settings_index> settings,
                       std::uint64_t seed)
    : m_settings(std::move(settings)), m_random(seed),
      m_machines(m_settings->all().vms.size())
{
    for (std::size_t i = 0; i < m_machines.size(); ++i) {
        restart(i);
    }
}

void rate_fleet::make_home(std::size_t vm)
{
    for (const auto& workspace : m_settings->all().workspaces) {
        m_machines[m_home].home->stop(workspace.id);
        m_machines[vm].home->start(workspace.id, m_now);
    }
    m_home = vm;
    m_renews = true;
    m_draining = false;
    m_lease_until = m_now + lease;
    m_machines[vm].roles->hold_all_until(m_lease_until);
}

void rate_fleet::stop_renewing()
{
    m_renews = false;
}

void rate_fleet::drain_home()
{
    m_draining = true;
    for (const auto& workspace : m_settings->all().workspaces) {
        m_machines[m_home].home->drain(workspace.id);
    }
}

bool rate_fleet::drained() const
{
    for (const auto& workspace : m_settings->all().workspaces) {
        if (!m_machines[m_home].home->drained(workspace.id, m_now)) {
            return false;
        }
    }
    return true;
}

void rate_fleet::restart(std::size_t vm)
{
    machine& m = m_machines[vm];
    m.process = ++m_last_process;
    m.roles = std::make_unique<manual_role_view>(m_settings);
    m.home = std::make_unique<rate_home>(*m.roles);
    m.home->settings_changed(m_settings, m_now);
    m.borrower = std::make_unique<rate_borrower>(*m.roles);
    m.borrower->settings_changed(m_settings);
    m.out = {};
    if (vm == m_home) {
        m_renews = false;
    }
    for (auto& other : m_machines) {
        if (other.home != nullptr) {
            other.home->peer_restarted(m_settings->all().vms[vm].id);
        }
    }
}

void rate_fleet::pause(std::size_t vm, time_point until)
{
    m_machines[vm].paused_until = until;
}

void rate_fleet::partition_below(std::size_t vm)
{
    m_partition = vm;
}

void rate_fleet::set_network(std::uint32_t lost_per_thousand,
                             duration longest_delay)
{
    m_lost = lost_per_thousand;
    m_longest_delay = longest_delay;
}

caller_token rate_fleet::request(std::size_t vm, workspace_id workspace,
                                 duration max_wait)
{
    const caller_token caller(++m_last_caller);
    machine& m = m_machines[vm];
    m.borrower->request(caller, workspace, max_wait, m_now, m.out);
    flush(vm);
    return caller;
}

void rate_fleet::step()
{
    m_now += std::chrono::milliseconds(1);
    if (m_renews && has_lease() && !paused(m_home)) {
        m_lease_until = m_now + lease;
        m_machines[m_home].roles->hold_all_until(m_lease_until);
    }
    std::vector<message> later;
    for (auto& sent : std::exchange(m_network, {})) {
        if (m_now < sent.due || paused(sent.to)) {
            later.push_back(std::move(sent));
        } else {
            deliver(sent);
        }
    }
    for (auto& sent : later) {
        m_network.push_back(std::move(sent));
    }
    if (m_now.time_since_epoch() % tick_every == duration(0)) {
        for (std::size_t i = 0; i < m_machines.size(); ++i) {
            tick(i);
        }
    }
}

std::vector<fleet_decision> rate_fleet::take_decisions()
{
    return std::exchange(m_decisions, {});
}

void rate_fleet::tick(std::size_t vm)
{
    if (paused(vm)) {
        return;
    }
    machine& m = m_machines[vm];
    const auto group = m.roles->map().groups().front();
    const bool reachable = has_lease() && !apart(vm, m_home);
    if (reachable || !m.roles->believed_holder(group).is_set()) {
        m.roles->believe_all(m_settings->all().vms[m_home].id);
    }
    m.home->tick(m_now, m.out);
    m.borrower->tick(m_now, m.out);
    flush(vm);
}

void rate_fleet::flush(std::size_t vm)
{
    machine& m = m_machines[vm];
    for (auto& sent : m.out.take_peer_messages()) {
        post(vm, index_of(sent.to), std::move(sent.body));
    }
    for (const auto& decision : m.borrower->take_decisions()) {
        m_decisions.push_back({decision, m_now});
    }
}

void rate_fleet::post(std::size_t from, std::size_t to, peer_message body)
{
    ++m_messages;
    if (apart(from, to) || m_random.below(1000) < m_lost) {
        return;
    }
    const auto delay = m_random.below(m_longest_delay.count());
    m_network.push_back({from, to, m_machines[to].process, std::move(body),
                         m_now + duration(delay)});
}

void rate_fleet::deliver(const message& sent)
{
    machine& m = m_machines[sent.to];
    if (sent.to_process != m.process) {
        return;
    }
    const vm_id from = m_settings->all().vms[sent.from].id;
    if (const auto* ask = std::get_if<loan_ask>(&sent.body)) {
        m.home->receive(from, *ask, m_now, m.out);
    } else {
        const auto& grant = std::get<loan_grant>(sent.body);
        m.borrower->receive(from, grant, m_now, m.out);
    }
    flush(sent.to);
}

bool rate_fleet::apart(std::size_t a, std::size_t b) const
{
    return (a < m_partition) != (b < m_partition);
}

std::size_t rate_fleet::index_of(vm_id vm) const
{
    const auto& vms = m_settings->all().vms;
    std::size_t i = 0;
    while (vms[i].id != vm) {
        ++i;
    }
    return i;
}

} // namespace cranberrywood::fakes
