#include "systems/store/store_readers.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Fleet up to which every VM reads the store. */
constexpr std::uint32_t all_read_up_to = 12;
/** Readers of a larger fleet. */
constexpr std::size_t readers = 4;
/** Place up to which a VM that reads goes on, so that places may change. */
constexpr std::size_t readers_kept = 8;
/** VMs in whose order the readers are sought. */
constexpr std::size_t candidates = 24;
/** Time for which a reader that failed is not followed; it doubles. */
constexpr duration min_avoid = 5s;
constexpr duration max_avoid = 60s;
/** Failures this close together make a VM read by itself, and how long. */
constexpr duration failures_close = 5s;
constexpr duration own_reading = 10s;
/** Key of the order of readers. */
constexpr std::uint64_t order_key = 0x73746f7265;

} // namespace

store_readers::store_readers(const member_directory& members)
    : m_members(members)
{
}

std::optional<std::string> store_readers::source(time_point now)
{
    const bool reads = !m_followed;
    if (!m_members.settled(now) ||
        m_members.fleet_size(now) <= all_read_up_to || now < m_reads_until) {
        m_followed.reset();
        return m_followed;
    }
    const std::vector<std::string> live = live_candidates(now);
    const auto self = std::find(live.begin(), live.end(), m_members.self());
    const auto place = static_cast<std::size_t>(self - live.begin());
    const std::size_t places = reads ? readers_kept : readers;
    if (self != live.end() && place < places) {
        m_followed.reset();
    } else if (reads) {
        m_followed = choose(live, now);
    }
    return m_followed;
}

std::vector<std::string> store_readers::live_candidates(time_point now) const
{
    std::vector<std::string> live;
    for (const std::string& address : m_members.ranked(order_key, candidates)) {
        if (address == m_members.self() || m_members.is_live(address, now)) {
            live.push_back(address);
        }
    }
    return live;
}

std::optional<std::string>
store_readers::choose(const std::vector<std::string>& live,
                      time_point now) const
{
    std::vector<std::string> usable;
    for (std::size_t i = 0; i < live.size() && i < readers; ++i) {
        const auto record = m_failures.find(live[i]);
        if (record == m_failures.end() || now >= record->second.avoided_until) {
            usable.push_back(live[i]);
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    return usable[stable_hash(m_members.self(), order_key) % usable.size()];
}

// A reader is followed until it fails. When the next one fails as well, the
// trouble may be this VM's own, and it reads by itself for a while.
void store_readers::failed(time_point now)
{
    if (!m_followed) {
        return;
    }
    failure_record& record = m_failures[*m_followed];
    record.avoid = std::clamp(record.avoid * 2, min_avoid, max_avoid);
    record.avoided_until = now + record.avoid;
    const std::vector<std::string> live = live_candidates(now);
    m_followed = choose(live, now);
    if (!m_followed || now - m_last_failure < failures_close) {
        m_followed.reset();
        m_reads_until = now + own_reading;
    }
    m_last_failure = now;
}

} // namespace cranberrywood
