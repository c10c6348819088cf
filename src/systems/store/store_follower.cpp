#include "systems/store/store_follower.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Wait of one watch; a connection that went silent shows soon after. */
constexpr duration watch_wait = 2s;
/** Pauses after failures; they double and are spread. */
constexpr duration min_retry = 150ms;
constexpr duration max_retry = 1200ms;
constexpr std::uint32_t max_doublings = 3;

} // namespace

store_follower::store_follower(duration pause, random_source& random)
    : m_pause(pause), m_random(random)
{
}

store_call store_follower::next_call(time_point now)
{
    if (now < m_not_before) {
        return pause_reading{m_not_before};
    }
    if (!m_listed) {
        return list_items{m_after_key};
    }
    return watch_items{m_revision, watch_wait};
}

// Pages of a list are no snapshot: changes behind the revision of the first
// page may be missing, so the watch begins there.
followed_page store_follower::handle_page(store_page page, time_point now)
{
    m_in_contact = true;
    m_failures = 0;
    if (m_listed) {
        m_revision = std::max(m_revision, page.at);
        if (!page.changes.empty()) {
            m_not_before = now + m_pause;
        }
        return {std::move(page.changes), false, page.at};
    }
    if (m_after_key.empty()) {
        m_list_from = page.at;
        m_list.clear();
    }
    for (store_change& change : page.changes) {
        m_after_key = change.key;
        m_list.push_back(std::move(change));
    }
    if (page.more && !page.changes.empty()) {
        return {};
    }
    m_listed = true;
    m_after_key.clear();
    m_revision = m_list_from;
    m_not_before = now;
    return {std::move(m_list), true, m_list_from};
}

void store_follower::restart()
{
    m_listed = false;
    m_after_key.clear();
    m_not_before = time_point();
}

void store_follower::failed(store_fault fault, time_point now)
{
    if (fault == store_fault::history_lost) {
        m_listed = false;
        m_after_key.clear();
        return;
    }
    m_in_contact = false;
    // A list that was cut off begins anew; its pages would be of two times.
    m_after_key.clear();
    const std::uint32_t doublings = std::min(m_failures, max_doublings);
    const duration pause = std::min(max_retry, min_retry * (1U << doublings));
    ++m_failures;
    const auto spread = static_cast<duration::rep>(
        m_random.below(static_cast<std::uint64_t>(pause.count())));
    m_not_before = now + pause / 2 + duration(spread) / 2;
}

} // namespace cranberrywood
