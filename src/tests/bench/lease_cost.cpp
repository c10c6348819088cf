#include "core/random_source.hpp"
#include "fakes/sample_settings.hpp"
#include "systems/members/heartbeats.hpp"
#include "systems/members/role_leases.hpp"

#include <chrono>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <map>

// Runs one VM's heartbeats and role leases against peers that answer at once,
// at several fleet sizes. Bytes are counted by field: an id 9, another number
// 5, a flag 1, a list 2, an envelope with its frame 40.

using namespace cranberrywood;

namespace {

constexpr duration tick_every = std::chrono::milliseconds(10);
constexpr int warm_up_s = 10;
constexpr int measured_s = 20;
constexpr std::size_t id_bytes = 9;
constexpr std::size_t number_bytes = 5;
constexpr std::size_t list_bytes = 2;
constexpr std::size_t envelope_bytes = 40;

std::size_t bytes_of(const peer_message& message)
{
    std::size_t bytes = envelope_bytes;
    if (const auto* ask = std::get_if<lease_ask>(&message)) {
        bytes += number_bytes + id_bytes + list_bytes;
        bytes += ask->groups.size() * id_bytes;
    } else if (const auto* grant = std::get_if<lease_grant>(&message)) {
        bytes += number_bytes + 2 * list_bytes;
        bytes += grant->granted.size() * id_bytes;
        bytes += grant->refused.size() * 2 * id_bytes;
    } else if (const auto* query = std::get_if<holder_query>(&message)) {
        bytes += list_bytes + query->groups.size() * id_bytes;
    } else if (const auto* report = std::get_if<holder_report>(&message)) {
        bytes += list_bytes + report->holders.size() * 2 * id_bytes;
    } else if (std::holds_alternative<heartbeat>(message)) {
        bytes += 3 * number_bytes + 2 * id_bytes + 3;
    }
    return bytes;
}

double cpu_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

struct shape
{
    std::uint32_t vms;
    std::uint32_t centres;
    std::uint32_t shared_groups;
    std::uint32_t groups_per_centre;
};

std::shared_ptr<const settings_index> settings_of(const shape& fleet)
{
    fakes::sample_shape sample;
    sample.vms = fleet.vms;
    sample.data_centres = fleet.centres;
    settings s = fakes::sample_settings(sample);
    s.fleet.shared_groups = fleet.shared_groups;
    s.fleet.groups_per_data_centre = fleet.groups_per_centre;
    return std::make_shared<const settings_index>(s);
}

/** The measured VM, and the load that the rest of the fleet puts on it. */
class measured_vm
{
public:
    explicit measured_vm(const shape& fleet)
        : m_settings(settings_of(fleet)), m_map(m_settings), m_random(1),
          m_beats(identity()), m_leases(identity(), m_random, m_beats)
    {
        for (const auto& vm : m_settings->all().vms) {
            m_list.vms.push_back({vm.id, false});
        }
        m_list.version = list_version(1);
        find_asks();
        const std::size_t before = mallinfo2().uordblks;
        m_beats.settings_changed(m_settings, m_now);
        m_beats.vm_list_changed(m_list);
        m_leases.settings_changed(m_settings, m_now, m_out);
        run(warm_up_s);
        m_memory = mallinfo2().uordblks - before;
        m_messages = 0;
        m_bytes = 0;
        m_cpu = 0;
    }

    void run(int seconds)
    {
        for (int second = 0; second < seconds; ++second) {
            receive_load();
            for (int tick = 0; tick < 100; ++tick) {
                m_now += tick_every;
                const double start = cpu_seconds();
                m_beats.tick(m_now, m_out);
                m_leases.tick(m_now, m_out);
                m_cpu += cpu_seconds() - start;
                exchange();
            }
        }
    }

    void print(const shape& fleet) const
    {
        std::size_t held = 0;
        for (const role_group_id group : m_map.groups()) {
            held += m_leases.holds(group, m_now) ? 1 : 0;
        }
        std::printf("%4u %6zu %5zu %7zu %10.1f %8.0f %12.0f %8zu\n", fleet.vms,
                    m_map.groups().size(), held, m_leases.granted(),
                    static_cast<double>(m_messages) / measured_s,
                    static_cast<double>(m_bytes) / measured_s,
                    m_cpu / measured_s * 1e9, m_memory);
    }

private:
    node_identity identity() const
    {
        node_identity self;
        self.vm = m_settings->all().vms.front().id;
        self.process = incarnation(1);
        self.started = m_now;
        return self;
    }

    /** Collects what the best candidates ask of this VM as a witness. */
    void find_asks()
    {
        const vm_id self = identity().vm;
        for (const role_group_id group : m_map.groups()) {
            const vm_id best = m_map.candidates(group).front();
            const auto set = m_map.witnesses(group);
            if (best != self &&
                std::find(set.begin(), set.end(), self) != set.end()) {
                m_asks[best].groups.push_back(group);
            }
        }
        const revision_number slots = role_layout::membership_of(*m_settings);
        for (auto& [vm, ask] : m_asks) {
            ask.membership = slots;
        }
    }

    void receive_load()
    {
        const double start = cpu_seconds();
        for (auto& [vm, ask] : m_asks) {
            ++ask.round;
            m_beats.heard(vm, m_now);
            m_leases.receive(vm, ask, m_now, m_out);
        }
        for (const vm_id vm : m_beats.heartbeat_peers()) {
            heartbeat sign;
            sign.mark = 1;
            sign.wants_reply = true;
            m_beats.receive(vm, sign, m_now, m_out);
        }
        m_cpu += cpu_seconds() - start;
        exchange();
    }

    void exchange()
    {
        for (const auto& sent : m_out.take_peer_messages()) {
            if (sent.to == identity().vm) {
                answer_self(sent.body);
                continue;
            }
            ++m_messages;
            m_bytes += bytes_of(sent.body);
            answer(sent.to, sent.body);
        }
        m_out.take_commands();
    }

    void answer(vm_id from, const peer_message& message)
    {
        const double start = cpu_seconds();
        if (const auto* ask = std::get_if<lease_ask>(&message)) {
            const lease_grant grant{ask->round, ask->groups, {}};
            m_leases.receive(from, grant, m_now, m_out);
        } else if (const auto* query = std::get_if<holder_query>(&message)) {
            holder_report report;
            for (const role_group_id group : query->groups) {
                report.holders.push_back(
                    {group, m_map.candidates(group).front()});
            }
            m_leases.receive(from, report, m_now, m_out);
        } else {
            m_beats.heard(from, m_now);
        }
        m_cpu += cpu_seconds() - start;
    }

    void answer_self(const peer_message& message)
    {
        if (const auto* ask = std::get_if<lease_ask>(&message)) {
            m_leases.receive(identity().vm, *ask, m_now, m_out);
        } else if (const auto* grant = std::get_if<lease_grant>(&message)) {
            m_leases.receive(identity().vm, *grant, m_now, m_out);
        }
        exchange();
    }

    std::shared_ptr<const settings_index> m_settings;
    role_map m_map;
    seeded_random m_random;
    time_point m_now = time_point(std::chrono::hours(1));
    heartbeats m_beats;
    role_leases m_leases;
    vm_list_read m_list;
    std::map<vm_id, lease_ask> m_asks;
    outbox m_out;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
    double m_cpu = 0;
    std::size_t m_memory = 0;
};

} // namespace

int main()
{
    constexpr shape fleets[] = {
        {8, 4, 64, 8}, {80, 4, 96, 24}, {840, 9, 1024, 96}};
    std::printf("%4s %6s %5s %7s %10s %8s %12s %8s\n", "VMs", "groups", "held",
                "granted", "messages/s", "bytes/s", "cpu ns/s", "memory");
    for (const shape& fleet : fleets) {
        measured_vm vm(fleet);
        vm.run(measured_s);
        vm.print(fleet);
    }
    return 0;
}
