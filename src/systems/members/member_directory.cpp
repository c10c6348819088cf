#include "systems/members/member_directory.hpp"

#include "systems/members/member_memory.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Time in which VMs that start together discover each other. */
constexpr duration min_settling_time = 1s;
/** Time after which a VM counts as settled though peers report more VMs. */
constexpr duration max_settling_time = 10s;
/**
 * Silence after which a VM of a small fleet no longer gets requests. In a large
 * fleet, the time in which a heartbeat spreads is added.
 */
constexpr duration min_live_timeout = 3s;
/** Multiple of the mean time in which a heartbeat spreads to all VMs. */
constexpr double spread_margin = 1.5;
/** Datagrams with hints that a VM receives per second. */
constexpr double datagrams_per_second = 6.0;
/** Time for which a fleet size reported by a peer is used. */
constexpr duration reported_size_lifetime = 60s;
constexpr std::size_t max_heartbeat_targets = 3;
/** Member hints per datagram, which keep it below 1,100 bytes. */
constexpr std::size_t max_member_hints = 80;
/**
 * Share of the reported fleet that a VM knows once it is settled. The last few
 * VMs take the longest to discover, and are not needed to serve callers.
 */
constexpr double settled_share = 0.95;

} // namespace

member_directory::member_directory(member_identity identity,
                                   random_source& random, time_point started)
    : m_identity(std::move(identity)), m_share(m_identity.origin, started),
      m_random(random), m_started(started)
{
}

void member_directory::received(const std::string& from,
                                const gateway_datagram& datagram,
                                time_point now)
{
    record_heard(from, now);
    m_share.received(datagram);
    for (const member_hint& hint : datagram.members) {
        if (hint.address == m_identity.self || hint.age > member_memory) {
            continue;
        }
        record_heard(hint.address, now - hint.age);
    }
    m_settled_peer_seen = m_settled_peer_seen || datagram.settled;
    if (datagram.fleet_size >= m_reported_size ||
        now - m_reported_at > reported_size_lifetime) {
        m_reported_size = datagram.fleet_size;
        m_reported_at = now;
    }
}

void member_directory::record_heard(const std::string& address, time_point at)
{
    const auto [known, added] = m_heard.try_emplace(address, at);
    m_version += added ? 1 : 0;
    known->second = std::max(known->second, at);
}

bool member_directory::is_live(const std::string& address, time_point now) const
{
    const auto known = m_heard.find(address);
    return known != m_heard.end() && now - known->second <= live_timeout();
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

bool member_directory::knows_more_than(const gateway_datagram& datagram) const
{
    return !datagram.settled && datagram.is_heartbeat() &&
           m_heard.size() + 1 > datagram.fleet_size;
}

// All seeds are targets until a VM is heard. Afterwards one random seed or
// silent VM is added to each heartbeat, so that the sides of a healed partition
// discover each other again.
std::vector<std::string> member_directory::heartbeat_targets(time_point now)
{
    evict_silent(now);
    std::vector<std::string> targets = live(now);
    if (targets.size() > max_heartbeat_targets) {
        targets.resize(max_heartbeat_targets);
    }
    std::vector<std::string> others;
    for (const std::string& seed : m_identity.seeds) {
        if (seed != m_identity.self) {
            others.push_back(seed);
        }
    }
    if (!targets.empty()) {
        for (const auto& [address, heard] : m_heard) {
            if (now - heard > live_timeout()) {
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

// The number of VMs that have received a VM's last heartbeat, directly or by
// hints, grows exponentially; its rate is the share of the fleet that the hints
// of one second contain.
duration member_directory::live_timeout() const
{
    const auto vms = static_cast<double>(m_heard.size() + 1);
    const double hinted_share =
        std::min(1.0, static_cast<double>(max_member_hints) / vms);
    const std::chrono::duration<double> spread(
        spread_margin * std::log(vms) / (datagrams_per_second * hinted_share));
    return min_live_timeout + std::chrono::duration_cast<duration>(spread);
}

void member_directory::fill(gateway_datagram& datagram, time_point now) const
{
    datagram.fleet_size = static_cast<std::uint32_t>(m_heard.size() + 1);
    datagram.settled = settled(now);
    datagram.fleet_unconfirmed =
        !m_share.confirmed(heard_seeds(), now) || !knows_all(now);
    datagram.data_centre = m_share.data_centre();
}

void member_directory::add_hints(gateway_datagram& datagram, time_point now)
{
    std::vector<member_hint> hints;
    hints.reserve(m_heard.size());
    for (const auto& [address, heard] : m_heard) {
        hints.push_back({address, now - heard});
    }
    const std::size_t count = std::min(hints.size(), max_member_hints);
    for (std::size_t i = 0; i < count && count < hints.size(); ++i) {
        std::swap(hints[i], hints[i + m_random.below(hints.size() - i)]);
    }
    hints.resize(count);
    datagram.members = std::move(hints);
}

std::uint32_t member_directory::fleet_size(time_point now) const
{
    const auto known = static_cast<std::uint32_t>(m_heard.size() + 1);
    const std::uint32_t size = now - m_reported_at < reported_size_lifetime
                                   ? std::max(known, m_reported_size)
                                   : known;
    return settled(now) ? size : std::max(size, m_identity.assumed_vms);
}

double member_directory::usable_share(time_point now) const
{
    return is_alone() ? 1.0 : m_share.usable(heard_seeds(), now);
}

/** Returns the part of the seeds that this VM has heard from or is itself. */
double member_directory::heard_seeds() const
{
    const auto& seeds = m_identity.seeds;
    if (seeds.empty()) {
        return 1.0;
    }
    const auto heard =
        std::count_if(seeds.begin(), seeds.end(), [&](const auto& seed) {
            return seed == m_identity.self || m_heard.count(seed) != 0;
        });
    return static_cast<double>(heard) / static_cast<double>(seeds.size());
}

std::vector<std::string> member_directory::live(time_point now)
{
    std::vector<std::string> addresses;
    for (const auto& [address, heard] : m_heard) {
        if (now - heard <= live_timeout()) {
            addresses.push_back(address);
        }
    }
    shuffle(addresses);
    return addresses;
}

void member_directory::evict_silent(time_point now)
{
    for (auto it = m_heard.begin(); it != m_heard.end();) {
        if (now - it->second > member_memory) {
            it = m_heard.erase(it);
            ++m_version;
        } else {
            ++it;
        }
    }
}

bool member_directory::settled(time_point now) const
{
    return has_discovered(settled_share, now);
}

bool member_directory::knows_all(time_point now) const
{
    return has_discovered(1.0, now);
}

bool member_directory::has_discovered(double share, time_point now) const
{
    if (is_alone()) {
        return true;
    }
    const duration age = now - m_started;
    const auto known = static_cast<double>(m_heard.size() + 1);
    const bool enough_known = known >= share * m_reported_size;
    const bool had_settling_time =
        m_settled_peer_seen || age >= min_settling_time;
    return !m_heard.empty() &&
           ((enough_known && had_settling_time) || age >= max_settling_time);
}

/** Returns whether no other VM can be in the fleet. */
bool member_directory::is_alone() const
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
