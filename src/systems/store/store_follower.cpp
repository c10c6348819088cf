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

} // namespace

store_follower::store_follower(duration pause, random_source& random)
    : m_pause(pause), m_random(random)
{
}

store_call store_follower::next_call(time_point now)
{
    if (now < m_next_call_time) {
        return pause_reading{m_next_call_time};
    }
    if (!m_listed) {
        return list_items{m_after_key};
    }
    return watch_items{m_position.revision, watch_wait};
}

// A page of another era than the list or the watch it belongs to says nothing
// of what lies between them, so the area is listed anew.
std::optional<followed_page> store_follower::handle_page(store_page page,
                                                         time_point now)
{
    if (page.at.era < m_era) {
        failed(store_fault::unavailable, now);
        return std::nullopt;
    }
    m_in_contact = true;
    m_failures = 0;
    if (page.at.era > m_era) {
        const bool interrupted = m_listed || !m_after_key.empty();
        m_era = page.at.era;
        if (interrupted) {
            restart();
            return followed_page();
        }
    }
    if (!m_listed) {
        return handle_list_page(std::move(page), now);
    }
    m_position = std::max(m_position, page.at);
    if (!page.changes.empty()) {
        m_next_call_time = now + m_pause;
    }
    return followed_page{std::move(page.changes), false, page.at};
}

// The pages of a list are not one snapshot: changes made after the position of
// the first page may be missing, so the watch starts there.
followed_page store_follower::handle_list_page(store_page page, time_point now)
{
    if (m_after_key.empty()) {
        m_list_position = page.at;
        m_listed_items.clear();
    }
    for (store_change& change : page.changes) {
        m_after_key = change.key;
        m_listed_items.push_back(std::move(change));
    }
    if (page.more && !page.changes.empty()) {
        return {};
    }
    m_listed = true;
    m_after_key.clear();
    m_position = m_list_position;
    m_next_call_time = now;
    return {std::move(m_listed_items), true, m_list_position};
}

void store_follower::restart()
{
    m_listed = false;
    m_after_key.clear();
    m_next_call_time = time_point();
}

void store_follower::failed(store_fault fault, time_point now)
{
    if (fault == store_fault::history_lost) {
        m_listed = false;
        m_after_key.clear();
        return;
    }
    m_in_contact = false;
    // An interrupted list restarts from the first page; continuing it would mix
    // pages from before and after the failure.
    m_after_key.clear();
    const std::uint32_t doublings = std::min(m_failures, max_doublings);
    const duration pause =
        std::min(max_retry_pause, min_retry_pause * (1U << doublings));
    ++m_failures;
    const auto spread = static_cast<duration::rep>(
        m_random.below(static_cast<std::uint64_t>(pause.count())));
    m_next_call_time = now + pause / 2 + duration(spread) / 2;
}

} // namespace cranberrywood
