#include "systems/store/store_readers.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Largest fleet in which every VM reads the store. */
constexpr std::uint32_t max_small_fleet = 12;
/** Number of VMs that read the store in a larger fleet. */
constexpr std::size_t reader_count = 3;
/**
 * A reader stays one while it ranks among this many, so that small changes of
 * the ranking do not replace readers.
 */
constexpr std::size_t retained_reader_count = 5;
/** Number of ranked VMs among which the live readers are found. */
constexpr std::size_t candidate_count = 24;
/** Time that a VM needs after its start to learn whether the fleet is large. */
constexpr duration small_fleet_wait = 400ms;
/**
 * Time after which a starting VM of a large fleet reads the store although it
 * does not know the members yet.
 */
constexpr duration max_startup_wait = 1500ms;
/** Bounds of the exponential backoff after which a failed reader is retried. */
constexpr duration min_backoff = 5s;
constexpr duration max_backoff = 60s;
/** Backoff for a reader that cannot reach the store. */
constexpr duration store_unreachable_backoff = 1s;
/** Pause before a retry when neither the readers nor the store answer. */
constexpr duration retry_pause = 500ms;
/** Two failures within this time make a VM read the store itself. */
constexpr duration failure_window = 5s;
/** Time for which it then reads the store. */
constexpr duration direct_read_time = 10s;
/** Hash key of the ranking of readers. */
constexpr std::uint64_t order_key = 0x73746f7265;

} // namespace

store_readers::store_readers(const member_directory& members)
    : m_members(members)
{
}

// Without this wait, every VM of a large fleet that starts at once would list
// the whole store.
bool store_readers::must_wait(time_point now) const
{
    if (now < m_wait_until) {
        return true;
    }
    const duration age = m_members.age(now);
    if (m_members.settled(now)) {
        return false;
    }
    return age < small_fleet_wait ||
           (m_members.known_fleet_size() > max_small_fleet &&
            age < max_startup_wait);
}

std::optional<std::string> store_readers::source(time_point now)
{
    const bool is_reading = !m_followed;
    if (!m_members.settled(now) ||
        m_members.fleet_size(now) <= max_small_fleet ||
        now < m_direct_reads_until) {
        m_followed.reset();
        return m_followed;
    }
    const std::vector<std::string> live = live_candidates(now);
    const auto self = std::find(live.begin(), live.end(), m_members.self());
    const auto place = static_cast<std::size_t>(self - live.begin());
    const std::size_t places =
        is_reading ? retained_reader_count : reader_count;
    if (self != live.end() && place < places) {
        m_followed.reset();
    } else if (is_reading) {
        m_followed = choose_reader(live, now);
    }
    return m_followed;
}

std::vector<std::string> store_readers::live_candidates(time_point now) const
{
    std::vector<std::string> live;
    for (const std::string& address :
         m_members.ranked(order_key, candidate_count)) {
        if (address == m_members.self() || m_members.is_live(address, now)) {
            live.push_back(address);
        }
    }
    return live;
}

std::optional<std::string>
store_readers::choose_reader(const std::vector<std::string>& live,
                             time_point now) const
{
    std::vector<std::string> usable;
    for (std::size_t i = 0; i < live.size() && i < reader_count; ++i) {
        const auto record = m_failures.find(live[i]);
        if (record == m_failures.end() || now >= record->second.backoff_until) {
            usable.push_back(live[i]);
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    return usable[stable_hash(m_members.self(), order_key) % usable.size()];
}

// A reader is followed until it fails. When the next one fails within
// failure_window, the fault may be on this VM's side, so it reads the store
// itself for a while.
void store_readers::failed(reader_fault why, time_point now)
{
    if (!m_followed) {
        return;
    }
    failure_record& record = m_failures[*m_followed];
    if (why == reader_fault::store_unreachable) {
        record.backoff_until = now + store_unreachable_backoff;
    } else {
        record.backoff =
            std::clamp(record.backoff * 2, min_backoff, max_backoff);
        record.backoff_until = now + record.backoff;
    }
    m_followed = choose_reader(live_candidates(now), now);
    if (!m_followed || now - m_last_failure < failure_window) {
        m_followed.reset();
        start_direct_read(now);
    }
    m_last_failure = now;
}

// A large fleet must not overload a store that is down: each VM starts a direct
// read at most once per direct_read_time, and otherwise learns from the readers
// that the store is back.
void store_readers::store_failed(time_point now)
{
    if (now < m_direct_reads_until) {
        m_direct_reads_until = now;
        m_wait_until = now + retry_pause;
    }
}

void store_readers::start_direct_read(time_point now)
{
    if (now < m_next_direct_read) {
        m_wait_until = now + retry_pause;
        return;
    }
    m_direct_reads_until = now + direct_read_time;
    m_next_direct_read = m_direct_reads_until;
}

} // namespace cranberrywood
