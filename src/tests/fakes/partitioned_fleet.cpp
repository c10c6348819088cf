#include "fakes/partitioned_fleet.hpp"

#include <algorithm>

namespace cranberrywood::fakes {

namespace {

using namespace std::chrono_literals;

constexpr duration step_length = 10ms;
constexpr double steps_per_second = 100.0;
constexpr std::uint64_t lost_one_in = 30;
constexpr std::uint64_t longest_delay_ms = 20;
/** VMs that start together do so within this time. */
constexpr std::uint64_t start_spread_ms = 300;
constexpr std::size_t seeds = 3;
/** Window in which the users count a workspace's requests. */
constexpr duration window = 5s;
const workspace_id workspace{3};

std::string address_of(std::size_t vm)
{
    return "10.0." + std::to_string(vm / 200) + "." +
           std::to_string(vm % 200 + 1) + ":7000";
}

std::shared_ptr<const catalogue> settings_of(double rate, double burst)
{
    auto settings = std::make_shared<catalogue>();
    workspace_entry entry;
    entry.id = workspace;
    entry.name = "desk";
    entry.rate = rate;
    entry.burst = burst;
    settings->add_workspace(entry, {"key"});
    return settings;
}

} // namespace

partitioned_fleet::partitioned_fleet(partitioned_fleet_shape shape,
                                     std::uint64_t seed)
    : m_shape(shape), m_random(seed),
      m_settings(settings_of(shape.rate, shape.burst)), m_vms(shape.vms)
{
    choose_seeds();
    for (std::size_t index = 0; index < m_vms.size(); ++index) {
        after(std::chrono::milliseconds(m_random.below(start_spread_ms)),
              [this, index] { start(index, true); });
    }
}

void partitioned_fleet::choose_seeds()
{
    while (m_seeds.size() < std::min(seeds, m_vms.size())) {
        const std::size_t vm = m_random.below(m_vms.size());
        if (!is_seed(vm)) {
            m_seeds.push_back(vm);
        }
    }
}

bool partitioned_fleet::is_seed(std::size_t vm) const
{
    return std::find(m_seeds.begin(), m_seeds.end(), vm) != m_seeds.end();
}

void partitioned_fleet::after(duration delay, std::function<void()> run)
{
    m_due.push({m_now + delay, ++m_order, std::move(run)});
}

void partitioned_fleet::start(std::size_t index, bool first)
{
    vm_row& v = m_vms[index];
    member_identity identity;
    identity.self = address_of(index);
    for (const std::size_t seed : m_seeds) {
        identity.seeds.push_back(address_of(seed));
    }
    identity.origin.first_start = first || m_shape.restarts_as_first;
    identity.origin.data_centre = data_centre_id(1 + data_centre_of(index));
    for (std::size_t place = 0; place < m_shape.data_centres; ++place) {
        identity.origin.data_centres.emplace_back(1 + place);
    }
    v.number = ++m_processes;
    v.waiting = 0;
    v.process = std::make_unique<peer_vm>(identity, incarnation(v.number),
                                          m_settings, m_random, m_now);
}

void partitioned_fleet::kill(std::size_t vm, duration restart_delay)
{
    m_vms[vm].process.reset();
    after(restart_delay, [this, vm] { start(vm, false); });
}

void partitioned_fleet::set_group(std::size_t vm, std::size_t group)
{
    m_vms[vm].group = group;
}

void partitioned_fleet::heal()
{
    for (vm_row& v : m_vms) {
        v.group = 0;
    }
}

void partitioned_fleet::run(duration length, double requests_per_second)
{
    const time_point end = m_now + length;
    while (m_now < end) {
        m_now += step_length;
        while (!m_due.empty() && m_due.top().at <= m_now) {
            const due next = m_due.top();
            m_due.pop();
            next.run();
        }
        for (std::size_t index = 0; index < m_vms.size(); ++index) {
            tick(index);
        }
        m_owed_requests += requests_per_second / steps_per_second;
        for (; m_owed_requests >= 1.0; m_owed_requests -= 1.0) {
            request(m_random.below(m_vms.size()));
        }
        count_window();
    }
}

void partitioned_fleet::tick(std::size_t index)
{
    vm_row& v = m_vms[index];
    if (v.process == nullptr || m_now < v.process->peers.next_wakeup()) {
        return;
    }
    gateway_commands out;
    v.process->peers.tick(m_now, out);
    perform(index, out);
}

void partitioned_fleet::request(std::size_t index)
{
    vm_row& v = m_vms[index];
    if (v.process == nullptr || try_admit(index) != take_result::ask_others) {
        return;
    }
    const auto asks = v.process->rates.make_asks(workspace, 1, m_now);
    v.waiting += asks.empty() ? 0 : 1;
    gateway_commands out;
    v.process->peers.send_asks(asks, m_now, out);
    perform(index, out);
}

take_result partitioned_fleet::try_admit(std::size_t index)
{
    const auto taken = m_vms[index].process->rates.take(workspace, m_now);
    if (taken.result == take_result::granted) {
        m_admitted.push_back(m_now);
        ++m_admitted_since;
    }
    return taken.result;
}

void partitioned_fleet::count_window()
{
    while (!m_admitted.empty() && m_now - m_admitted.front() >= window) {
        m_admitted.pop_front();
    }
    m_most_in_window = std::max(m_most_in_window, m_admitted.size());
}

void partitioned_fleet::perform(std::size_t index,
                                const gateway_commands& commands)
{
    for (const gateway_command& command : commands) {
        const auto* sent = std::get_if<send_datagram>(&command);
        if (sent == nullptr || m_random.below(lost_one_in) == 0) {
            continue;
        }
        for (std::size_t to = 0; to < m_vms.size(); ++to) {
            if (address_of(to) == sent->to) {
                after(std::chrono::milliseconds(
                          1 + m_random.below(longest_delay_ms)),
                      [this, index, to, datagram = sent->datagram] {
                          deliver(index, to, datagram);
                      });
            }
        }
    }
}

void partitioned_fleet::deliver(std::size_t from, std::size_t to,
                                const gateway_datagram& datagram)
{
    vm_row& v = m_vms[to];
    if (v.process == nullptr || v.group != m_vms[from].group) {
        return;
    }
    gateway_commands out;
    v.process->peers.received({address_of(from), datagram}, m_now, out);
    while (!datagram.grants.empty() && v.waiting > 0 &&
           try_admit(to) == take_result::granted) {
        --v.waiting;
    }
    perform(to, out);
}

std::size_t partitioned_fleet::take_admitted()
{
    return std::exchange(m_admitted_since, 0);
}

} // namespace cranberrywood::fakes
