#include "systems/members/member_directory.hpp"

#include <algorithm>
#include <utility>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Time in which a fleet that starts together gets to know itself. */
constexpr duration settling_time = 2s;
/** Silence after which a VM is not asked for anything. */
constexpr duration live_time = 2500ms;
/** Silence after which a VM no longer counts. */
constexpr duration memory = 10min;
/** Time for which a size that a peer told holds. */
constexpr duration told_memory = 60s;
constexpr std::size_t heartbeats_at_once = 3;
/** Members told in one datagram, so that it stays below 1,000 bytes. */
constexpr std::size_t hints_at_once = 24;

} // namespace

member_directory::member_directory(member_identity identity,
                                   random_source& random, time_point started)
    : m_identity(std::move(identity)), m_random(random), m_started(started)
{
}

void member_directory::received(const std::string& from,
                                const gateway_datagram& datagram,
                                time_point now)
{
    m_heard[from] = now;
    for (const member_hint& hint : datagram.members) {
        if (hint.address == m_identity.self || hint.age > memory) {
            continue;
        }
        const time_point heard = now - hint.age;
        auto& known = m_heard.try_emplace(hint.address, heard).first->second;
        known = std::max(known, heard);
    }
    m_told_by_settled = m_told_by_settled || datagram.settled;
    if (datagram.fleet_size >= m_told_size || now - m_told_at > told_memory) {
        m_told_size = datagram.fleet_size;
        m_told_at = now;
    }
}

// Seeds are asked until somebody is heard, and now and then afterwards, so
// that two halves of a fleet that lost each other find together again.
std::vector<std::string> member_directory::heartbeat_targets(time_point now)
{
    forget_silent(now);
    std::vector<std::string> targets = live(now);
    if (targets.size() > heartbeats_at_once) {
        targets.resize(heartbeats_at_once);
    }
    std::vector<std::string> others;
    for (const std::string& seed : m_identity.seeds) {
        if (seed != m_identity.self) {
            others.push_back(seed);
        }
    }
    if (!targets.empty()) {
        for (const auto& [address, heard] : m_heard) {
            if (now - heard > live_time) {
                others.push_back(address);
            }
        }
        shuffle(others);
        others.resize(std::min<std::size_t>(others.size(), 1));
    }
    for (const std::string& address : others) {
        if (std::find(targets.begin(), targets.end(), address) ==
            targets.end()) {
            targets.push_back(address);
        }
    }
    return targets;
}

void member_directory::describe(gateway_datagram& datagram, time_point now)
{
    datagram.fleet_size = static_cast<std::uint32_t>(m_heard.size() + 1);
    datagram.settled = settled(now);
    std::vector<std::string> addresses;
    for (const auto& [address, heard] : m_heard) {
        addresses.push_back(address);
    }
    if (addresses.size() > hints_at_once) {
        shuffle(addresses);
        addresses.resize(hints_at_once);
    }
    for (const std::string& address : addresses) {
        datagram.members.push_back({address, now - m_heard[address]});
    }
}

std::uint32_t member_directory::fleet_size(time_point now) const
{
    const auto known = static_cast<std::uint32_t>(m_heard.size() + 1);
    const std::uint32_t size =
        now - m_told_at < told_memory ? std::max(known, m_told_size) : known;
    return settled(now) ? size : std::max(size, m_identity.assumed_vms);
}

std::vector<std::string> member_directory::live(time_point now)
{
    std::vector<std::string> addresses;
    for (const auto& [address, heard] : m_heard) {
        if (now - heard <= live_time) {
            addresses.push_back(address);
        }
    }
    shuffle(addresses);
    return addresses;
}

/** Forgets VMs that have been silent for very long. */
void member_directory::forget_silent(time_point now)
{
    for (auto it = m_heard.begin(); it != m_heard.end();) {
        it = now - it->second > memory ? m_heard.erase(it) : std::next(it);
    }
}

bool member_directory::settled(time_point now) const
{
    if (m_told_by_settled || alone()) {
        return true;
    }
    return !m_heard.empty() && now - m_started >= settling_time;
}

/** Returns whether nobody else can be in the fleet. */
bool member_directory::alone() const
{
    return m_heard.empty() &&
           std::all_of(m_identity.seeds.begin(), m_identity.seeds.end(),
                       [&](const std::string& seed) {
                           return seed == m_identity.self;
                       });
}

void member_directory::shuffle(std::vector<std::string>& addresses)
{
    for (std::size_t i = addresses.size(); i > 1; --i) {
        std::swap(addresses[i - 1], addresses[m_random.below(i)]);
    }
}

} // namespace cranberrywood
