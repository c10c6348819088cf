#include "systems/store/store_follower.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Long-poll wait of one watch; short, to notice a dead connection soon. */
constexpr duration watch_wait = 2s;
/** Bounds of the exponential backoff with jitter after failed calls. */
constexpr duration min_retry_pause = 150ms;
constexpr duration max_retry_pause = 1200ms;
constexpr std::uint32_t max_doublings = 3;
/** Attempts of a follower that makes only one list. */
constexpr std::uint32_t max_list_attempts = 2;
/** Shortest time between the starts of two watches that return nothing. */
constexpr duration min_watch_time = 100ms;
/** Items of one list; the largest deployment has 4,200 backend servers. */
constexpr std::size_t max_list_items = 50000;
/** UTF-8 of the character that stands for bytes that cannot be decoded. */
constexpr const char* replacement_character = "\xef\xbf\xbd";
/** Greater than any rest of a key, byte by byte. */
constexpr const char* greatest_rest = "\xff\xff\xff\xff";

/**
 * Returns the key after which a list continues. One that could not be decoded
 * names another key to the store; the list goes on behind all keys that begin
 * like it and then leave ASCII. None of them names a backend server.
 */
std::string continuation_after(const std::string& key)
{
    const std::size_t undecoded = key.find(replacement_character);
    return undecoded == std::string::npos
               ? key
               : key.substr(0, undecoded) + greatest_rest;
}

} // namespace

const char* name_of(page_fault why)
{
    switch (why) {
    case page_fault::earlier_era:
        return "earlier_era";
    case page_fault::no_progress:
        return "no_progress";
    case page_fault::too_long:
        return "too_long";
    }
    return "unknown";
}

store_follower::store_follower(duration pause, random_source& random,
                               read_extent extent)
    : m_pause(pause), m_extent(extent), m_random(random)
{
}

bool store_follower::is_finished() const
{
    return m_extent == read_extent::one_list &&
           (m_listed || m_failures + m_relists >= max_list_attempts);
}

store_call store_follower::next_call(time_point now)
{
    if (is_finished()) {
        return stop_reading{};
    }
    if (now < m_next_call_time) {
        return pause_reading{m_next_call_time};
    }
    if (!m_listed) {
        return list_items{continuation_after(m_after_key),
                          m_extent == read_extent::one_list};
    }
    m_watch_began = now;
    return watch_items{m_position.revision, watch_wait};
}

// A page of another era than the list or the watch it belongs to says nothing
// of what lies between them, so the area is listed anew.
page_result store_follower::handle_page(store_page page, time_point now)
{
    if (page.at.era < m_era) {
        return refuse(page_fault::earlier_era, now);
    }
    if (page.at.era > m_era) {
        const bool interrupted = m_listed || !m_after_key.empty();
        m_era = page.at.era;
        if (interrupted) {
            list_again(now);
            return followed_page();
        }
    }
    if (!m_listed) {
        return handle_list_page(std::move(page), now);
    }
    m_in_contact = true;
    m_failures = 0;
    m_relists = 0;
    m_position = std::max(m_position, page.at);
    m_next_call_time =
        page.changes.empty() ? m_watch_began + min_watch_time : now + m_pause;
    return followed_page{std::move(page.changes), false, page.at};
}

// The pages of a list are not one snapshot: changes made after the position of
// the first page may be missing, so the watch starts there. A store that reads
// another key than the one it was given repeats itself without end.
page_result store_follower::handle_list_page(store_page page, time_point now)
{
    if (m_after_key.empty()) {
        m_list_position = page.at;
        m_listed_items.clear();
        m_listed_keys.clear();
    }
    std::string last_key;
    bool any_new = false;
    for (store_change& change : page.changes) {
        if (!change.key.empty()) {
            last_key = change.key;
            any_new = m_listed_keys.insert(change.key).second || any_new;
        }
        m_listed_items.push_back(std::move(change));
    }
    if (page.more && !any_new) {
        return refuse(page_fault::no_progress, now);
    }
    if (m_listed_items.size() > max_list_items) {
        return refuse(page_fault::too_long, now);
    }
    if (page.more) {
        m_after_key = last_key;
        return followed_page();
    }
    m_in_contact = true;
    m_failures = 0;
    m_listed = true;
    m_after_key.clear();
    m_listed_keys.clear();
    m_position = m_list_position;
    m_next_call_time = now;
    return followed_page{std::move(m_listed_items), true, m_list_position};
}

refused_page store_follower::refuse(page_fault why, time_point now)
{
    refused_page refused{why, m_after_key, m_listed_keys.size()};
    failed(store_fault::unavailable, now);
    return refused;
}

void store_follower::restart()
{
    m_listed = false;
    m_after_key.clear();
    m_next_call_time = time_point();
}

// The first list after a watch is made at once. A store that answers each list
// with lost history or a new era would be listed without a pause otherwise.
void store_follower::list_again(time_point now)
{
    m_listed = false;
    m_after_key.clear();
    m_next_call_time = now;
    if (++m_relists > 1) {
        pause_after_failure(m_relists - 2, now);
    }
}

void store_follower::failed(store_fault fault, time_point now)
{
    if (fault == store_fault::history_lost) {
        list_again(now);
        return;
    }
    m_in_contact = false;
    // An interrupted list restarts from the first page; continuing it would mix
    // pages from before and after the failure.
    m_after_key.clear();
    m_listed_items.clear();
    m_listed_keys.clear();
    pause_after_failure(m_failures, now);
    ++m_failures;
}

void store_follower::pause_after_failure(std::uint32_t failures, time_point now)
{
    const std::uint32_t doublings = std::min(failures, max_doublings);
    const duration pause =
        std::min(max_retry_pause, min_retry_pause * (1U << doublings));
    const auto spread = static_cast<duration::rep>(
        m_random.below(static_cast<std::uint64_t>(pause.count())));
    m_next_call_time = now + pause / 2 + duration(spread) / 2;
}

} // namespace cranberrywood
