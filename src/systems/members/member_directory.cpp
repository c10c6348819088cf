#include "systems/members/member_directory.hpp"

#include <algorithm>
#include <utility>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Time in which a fleet that starts together gets to know itself. */
constexpr duration settling_time = 1s;
/** Time after which a VM goes by those it knows, though it heard of more. */
constexpr duration longest_settling = 10s;
/** Silence after which a VM is not asked for anything. */
constexpr duration live_time = 3500ms;
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
    heard(from, now);
    for (const member_hint& hint : datagram.members) {
        if (hint.address == m_identity.self || hint.age > memory) {
            continue;
        }
        heard(hint.address, now - hint.age);
    }
    m_told_by_settled = m_told_by_settled || datagram.settled;
    if (datagram.fleet_size >= m_told_size || now - m_told_at > told_memory) {
        m_told_size = datagram.fleet_size;
        m_told_at = now;
    }
}

void member_directory::heard(const std::string& address, time_point at)
{
    const auto [known, added] = m_heard.try_emplace(address, at);
    m_version += added ? 1 : 0;
    known->second = std::max(known->second, at);
}

bool member_directory::is_live(const std::string& address, time_point now) const
{
    const auto known = m_heard.find(address);
    return known != m_heard.end() && now - known->second <= live_time;
}

std::vector<std::string> member_directory::ranked(std::uint64_t key,
                                                  std::size_t most) const
{
    std::vector<std::pair<std::uint64_t, std::string>> order;
    order.reserve(m_heard.size() + 1);
    const auto rank = [&](const std::string& address) {
        order.emplace_back(stable_hash(key, stable_hash(address)), address);
    };
    rank(m_identity.self);
    for (const auto& [address, at] : m_heard) {
        rank(address);
    }
    std::sort(order.begin(), order.end());
    order.resize(std::min(order.size(), most));
    std::vector<std::string> addresses;
    addresses.reserve(order.size());
    for (auto& [hash, address] : order) {
        addresses.push_back(std::move(address));
    }
    return addresses;
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

void member_directory::fill(gateway_datagram& datagram, time_point now)
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
        if (now - it->second > memory) {
            it = m_heard.erase(it);
            ++m_version;
        } else {
            ++it;
        }
    }
}

bool member_directory::settled(time_point now) const
{
    if (alone()) {
        return true;
    }
    const duration age = now - m_started;
    const bool knows_all = m_heard.size() + 1 >= m_told_size;
    const bool had_time = m_told_by_settled || age >= settling_time;
    return !m_heard.empty() &&
           ((knows_all && had_time) || age >= longest_settling);
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
