#include "soak/soak_world.hpp"

/** VMs without links to backend servers, and peers that relay for them. */
namespace cranberrywood::soak {

namespace {

using namespace std::chrono_literals;

constexpr duration connect_timeout = 400ms;
constexpr duration peer_connect_timeout = 250ms;
/** Time after which a silent connection is given up. */
constexpr duration silence_limit = 3s;
constexpr std::uint64_t answers_per_loss = 100;

} // namespace

void soak_world::cut_links(std::size_t index, link_state state)
{
    m_vms[index].links = state;
}

void soak_world::cut_links_of_some()
{
    constexpr link_state kinds[] = {link_state::silent, link_state::refused,
                                    link_state::established_only};
    const link_state kind = kinds[m_random.below(std::size(kinds))];
    const std::uint64_t share = 1 + m_random.below(10);
    for (std::size_t index = 0; index < m_vms.size(); ++index) {
        if (m_random.below(10) < share) {
            cut_links(index, kind);
        }
    }
}

// An open connection is used by every second send while only these live on.
bool soak_world::passes_link(std::size_t index)
{
    const link_state links = m_vms[index].links;
    return links == link_state::up ||
           (links == link_state::established_only && m_random.below(2) == 0);
}

void soak_world::fail_on_link(std::size_t index, std::uint64_t process,
                              exchange_id exchange)
{
    const bool silent = m_vms[index].links == link_state::silent;
    after(silent ? connect_timeout : delay(),
          [this, index, process, exchange, silent] {
              end_exchange(index, process, exchange,
                           exchange_failure{
                               silent ? exchange_fault::not_connected
                                      : exchange_fault::connection_refused});
          });
}

bool soak_world::loses_answer(std::size_t index, std::uint64_t process,
                              exchange_id exchange)
{
    const link_state links = m_vms[index].links;
    if (links == link_state::up || links == link_state::established_only) {
        return false;
    }
    after(links == link_state::silent ? silence_limit : delay(),
          [this, index, process, exchange] {
              deliver_end(index, process,
                          {exchange,
                           exchange_failure{exchange_fault::connection_lost}});
          });
    return true;
}

void soak_world::relay(std::size_t index, const start_relay& command)
{
    std::size_t helper = 0;
    while (vm_address(helper) != command.peer) {
        ++helper;
    }
    const relay_token token(++m_next_relay);
    const std::uint64_t process = m_vms[index].process;
    const std::uint64_t helper_process = m_vms[helper].process;
    m_relays[token] = {index, process, command.exchange, helper,
                       helper_process};
    const bool cut = m_cuts.count({index, helper}) != 0 ||
                     m_cuts.count({helper, index}) != 0 ||
                     m_vms[helper].core == nullptr;
    if (cut) {
        after(peer_connect_timeout, [this, token] {
            end_relay(token, exchange_failure{exchange_fault::not_connected},
                      {});
        });
        return;
    }
    const relay_request request = command.request;
    after(delay(), [this, helper, helper_process, token, request] {
        in_process(helper, helper_process, [this, helper, token, request] {
            if (m_relays.count(token) != 0) {
                feed(helper, relay_requested{token, request});
            }
        });
    });
}

void soak_world::answer_peer(const answer_relay& command)
{
    const bool lost = m_faults && m_random.below(answers_per_loss) == 0;
    after(delay(), [this, command, lost] {
        if (lost) {
            end_relay(command.token,
                      exchange_failure{exchange_fault::connection_lost}, {});
        } else {
            end_relay(command.token, command.ended.result,
                      command.ended.server);
        }
    });
}

void soak_world::end_relay(
    relay_token token, std::variant<backend_answer, exchange_failure> result,
    backend_server_id server)
{
    const auto found = m_relays.find(token);
    if (found == m_relays.end()) {
        return;
    }
    const open_relay relay = found->second;
    m_relays.erase(found);
    deliver_end(relay.asker, relay.asker_process,
                {relay.exchange, std::move(result), server});
}

void soak_world::cancel(std::size_t index, exchange_id exchange)
{
    for (auto it = m_relays.begin(); it != m_relays.end(); ++it) {
        const open_relay relay = it->second;
        if (relay.asker != index || relay.exchange != exchange ||
            relay.asker_process != m_vms[index].process) {
            continue;
        }
        const relay_token token = it->first;
        m_relays.erase(it);
        after(delay(), [this, relay, token] {
            in_process(relay.helper, relay.helper_process,
                       [this, relay, token] {
                           feed(relay.helper, relay_withdrawn{token});
                       });
        });
        return;
    }
}

// The connections of a process that ends are closed: peers that it helped lose
// their exchanges, and those that helped it are told.
void soak_world::end_relays_of(std::size_t index)
{
    std::vector<relay_token> helped;
    std::vector<exchange_id> asked;
    for (const auto& [token, relay] : m_relays) {
        if (relay.helper == index) {
            helped.push_back(token);
        } else if (relay.asker == index) {
            asked.push_back(relay.exchange);
        }
    }
    for (const relay_token token : helped) {
        end_relay(token, exchange_failure{exchange_fault::connection_lost}, {});
    }
    for (const exchange_id exchange : asked) {
        cancel(index, exchange);
    }
}

} // namespace cranberrywood::soak
