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
constexpr duration small_fleet_wait = 1s;
/** Bounds of the exponential backoff after which a failed reader is retried. */
constexpr duration min_backoff = 5s;
constexpr duration max_backoff = 60s;
/** Bounds of the backoff of a reader that fails as this VM starts. */
constexpr duration min_start_backoff = 50ms;
constexpr duration max_start_backoff = 400ms;
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

bool store_readers::is_seed() const
{
    const auto& seeds = m_members.seeds();
    return std::find(seeds.begin(), seeds.end(), m_members.self()) !=
           seeds.end();
}

bool store_readers::is_starting(time_point now) const
{
    return !m_members.settled(now) && m_members.age(now) < small_fleet_wait;
}

bool store_readers::lists_at_start() const
{
    return !m_members.seeds().empty() && !is_seed();
}

bool store_readers::must_wait(time_point now) const
{
    return now < m_wait_until ||
           (is_starting(now) && !is_seed() && !m_followed && !choose_seed(now));
}

// Until a VM knows whether the fleet is large, only the seeds make linearizable
// calls: every VM of a large fleet that starts at once would make them else.
std::optional<std::string> store_readers::choose_seed(time_point now) const
{
    const auto& seeds = m_members.seeds();
    if (seeds.empty()) {
        return std::nullopt;
    }
    const std::size_t first =
        stable_hash(m_members.self(), order_key) % seeds.size();
    for (std::size_t i = 0; i < seeds.size(); ++i) {
        const std::string& seed = seeds[(first + i) % seeds.size()];
        if (!in_backoff(seed, now)) {
            return seed;
        }
    }
    return std::nullopt;
}

std::optional<std::string> store_readers::source(time_point now)
{
    if (is_starting(now)) {
        if (is_seed()) {
            m_followed.reset();
        } else if (!m_followed) {
            m_followed = choose_seed(now);
        }
        return m_followed;
    }
    const bool large = m_members.known_fleet_size() > max_small_fleet;
    if (!large || now < m_direct_reads_until) {
        m_followed.reset();
        return m_followed;
    }
    const bool is_reading = !m_followed;
    const std::vector<std::string> readers = candidates(now);
    const auto self =
        std::find(readers.begin(), readers.end(), m_members.self());
    const auto place = static_cast<std::size_t>(self - readers.begin());
    const std::size_t places =
        is_reading ? retained_reader_count : reader_count;
    if (self != readers.end() && place < places) {
        m_followed.reset();
    } else if (is_reading) {
        m_followed = choose_reader(readers, now);
    }
    return m_followed;
}

// The seeds come first, as every VM knows them from its start: the VMs of a
// large fleet that starts at once would else take different VMs for readers
// until they have discovered each other.
std::vector<std::string> store_readers::candidates(time_point now) const
{
    const bool settled = m_members.settled(now);
    std::vector<std::string> readers;
    const auto add = [&](const std::string& address) {
        const bool listed =
            std::find(readers.begin(), readers.end(), address) != readers.end();
        const bool live = address == m_members.self() || !settled ||
                          m_members.is_live(address, now);
        if (!listed && live) {
            readers.push_back(address);
        }
    };
    for (const std::string& seed : m_members.seeds()) {
        add(seed);
    }
    if (settled || readers.empty()) {
        for (const std::string& address :
             m_members.ranked(order_key, candidate_count)) {
            add(address);
        }
    }
    return readers;
}

bool store_readers::in_backoff(const std::string& reader, time_point now) const
{
    const auto record = m_failures.find(reader);
    return record != m_failures.end() && now < record->second.backoff_until;
}

std::optional<std::string>
store_readers::choose_reader(const std::vector<std::string>& readers,
                             time_point now) const
{
    std::vector<std::string> usable;
    const std::size_t count = std::min(readers.size(), reader_count);
    for (std::size_t i = 0; i < count; ++i) {
        if (!in_backoff(readers[i], now)) {
            usable.push_back(readers[i]);
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
    if (m_members.age(now) < small_fleet_wait) {
        failed_at_start(now);
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
    m_followed = choose_reader(candidates(now), now);
    if (!m_followed || now - m_last_failure < failure_window) {
        m_followed.reset();
        start_direct_read(now);
    }
    m_last_failure = now;
}

// Readers that start at the same time do not listen yet or have not read the
// store. The backoff is short, so that they are asked again soon, and the next
// one is asked at once.
void store_readers::failed_at_start(time_point now)
{
    failure_record& record = m_failures[*m_followed];
    record.backoff =
        std::clamp(record.backoff * 2, min_start_backoff, max_start_backoff);
    record.backoff_until = now + record.backoff;
    m_followed = is_starting(now) ? choose_seed(now)
                                  : choose_reader(candidates(now), now);
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
