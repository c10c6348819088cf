#include "soak/soak_world.hpp"

/** Faults of VMs, links, the store and backend servers in a soak run. */
namespace cranberrywood::soak {

using namespace std::chrono_literals;

void soak_world::next_fault()
{
    if (!m_faults) {
        return;
    }
    inject_fault();
    const auto gap = static_cast<std::uint64_t>(m_shape.fault_gap.count());
    after(duration(static_cast<duration::rep>(m_random.below(2 * gap))),
          [this] { next_fault(); });
}

void soak_world::inject_fault()
{
    const std::size_t one = m_random.below(m_vms.size());
    const std::size_t other = m_random.below(m_vms.size());
    switch (m_random.below(14)) {
    case 0:
        kill_vm(one);
        return;
    case 1:
        freeze_vm(one);
        return;
    case 2:
        m_cuts.insert({one, other});
        return;
    case 3:
        m_cuts.clear();
        return;
    case 4:
        m_loss_per_mille = m_random.below(300);
        return;
    case 5:
        m_vms[one].store_cut = true;
        feed(one, store_reachability_changed{false});
        return;
    case 6:
        end_faults();
        return;
    case 7:
        publish(m_random.below(2) == 0 ? pressing_workspace : "");
        return;
    case 8:
        cut_links_of_some();
        return;
    case 9:
        for (std::size_t index = 0; index < m_vms.size(); ++index) {
            cut_links(index, link_state::up);
        }
        return;
    case 10:
        for (std::size_t index = 0; index < m_vms.size(); ++index) {
            kill_vm(index);
        }
        return;
    default:
        inject_server_fault(m_random.below(m_servers.size()));
        return;
    }
}

void soak_world::inject_server_fault(std::size_t index)
{
    soak_server& server = m_servers[index];
    switch (m_random.below(6)) {
    case 0:
        crash(index, m_random.below(2) == 0);
        return;
    case 1:
        server.paused_until = m_now + 120ms;
        return;
    case 2:
        server.entry.draining = true;
        ++server.entry.sequence;
        report_servers();
        after(3s, [this, index] {
            m_servers[index].restart(true, m_now);
            report_servers();
        });
        return;
    default:
        server.become_faulty(m_now + 2s, m_random);
        return;
    }
}

void soak_world::end_faults()
{
    m_cuts.clear();
    m_loss_per_mille = 0;
    for (std::size_t index = 0; index < m_vms.size(); ++index) {
        cut_links(index, link_state::up);
        if (m_vms[index].store_cut) {
            m_vms[index].store_cut = false;
            feed(index, store_reachability_changed{true});
        }
        tell_store(index);
        tell_servers(index);
    }
}

void soak_world::crash(std::size_t place, bool dark)
{
    soak_server& server = m_servers[place];
    if (!server.up) {
        return;
    }
    server.up = false;
    server.dark = dark;
    after(1s, [this, place] {
        m_servers[place].restart(m_random.below(2) == 0, m_now);
        report_servers();
    });
}

} // namespace cranberrywood::soak
