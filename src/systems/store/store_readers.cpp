#include "systems/store/store_readers.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Fleet up to which every VM reads the store. */
constexpr std::uint32_t all_read_up_to = 12;
/** Readers of a larger fleet. */
constexpr std::size_t readers = 3;
/** Place up to which a VM that reads goes on, so that places may change. */
constexpr std::size_t readers_kept = 5;
/** VMs in whose order the readers are sought. */
constexpr std::size_t candidates = 24;
/** Time in which a VM that starts learns whether its fleet is large. */
constexpr duration size_known_after = 400ms;
/** Time after which it reads though it does not know the fleet. */
constexpr duration longest_undecided = 1500ms;
/** Time for which a reader that failed is not followed; it doubles. */
constexpr duration min_avoid = 5s;
constexpr duration max_avoid = 60s;
/** Time for which a reader without the store is not followed. */
constexpr duration without_store_avoid = 1s;
/** Time after which readers are asked again when none could be followed. */
constexpr duration rest = 500ms;
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

// A large fleet that starts at once would list the whole store once a VM.
bool store_readers::must_wait(time_point now) const
{
    if (now < m_rests_until) {
        return true;
    }
    const duration age = m_members.age(now);
    if (m_members.settled(now)) {
        return false;
    }
    return age < size_known_after ||
           (m_members.known_fleet_size() > all_read_up_to &&
            age < longest_undecided);
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
void store_readers::failed(reader_fault why, time_point now)
{
    if (!m_followed) {
        return;
    }
    failure_record& record = m_failures[*m_followed];
    if (why == reader_fault::store_unreachable) {
        record.avoided_until = now + without_store_avoid;
    } else {
        record.avoid = std::clamp(record.avoid * 2, min_avoid, max_avoid);
        record.avoided_until = now + record.avoid;
    }
    m_followed = choose(live_candidates(now), now);
    if (!m_followed || now - m_last_failure < failures_close) {
        m_followed.reset();
        try_store(now);
    }
    m_last_failure = now;
}

// While the store is down, a large fleet must not press it with calls: a VM
// tries it once in a while, and learns of its return from the readers.
void store_readers::store_failed(time_point now)
{
    if (now < m_reads_until) {
        m_reads_until = now;
        m_rests_until = now + rest;
    }
}

void store_readers::try_store(time_point now)
{
    if (now < m_next_try) {
        m_rests_until = now + rest;
        return;
    }
    m_reads_until = now + own_reading;
    m_next_try = m_reads_until;
}

} // namespace cranberrywood
