#include "systems/servers/owner_links.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

constexpr duration first_reconnect_delay = std::chrono::milliseconds(50);
constexpr duration max_reconnect_delay = std::chrono::seconds(2);

// A link is reset if a request on it is unanswered this long after its
// deadline.
constexpr duration unresponsive_limit = std::chrono::seconds(2);

// A server without requests for this long may have lost its caches.
constexpr duration idle_limit = std::chrono::seconds(60);

// Interval at which the link to a draining server is reopened, to learn from
// its hello whether it is still draining.
constexpr duration drain_probe_interval = std::chrono::seconds(5);

bool is_unresponsive(const owned_server& row, time_point now)
{
    return std::any_of(
        row.in_flight.begin(), row.in_flight.end(), [now](const auto& sent) {
            return now - sent.second.deadline >= unresponsive_limit;
        });
}

} // namespace

owner_links::owner_links(ask_sender& sender, random_source& random)
    : m_sender(sender), m_random(random)
{
}

// Two owners may hold links at the same time while a role moves, so each opens
// at most half of the connection limit. One is enough, as it carries any number
// of requests.
void owner_links::open(owned_server& row, outbox& out)
{
    row.link = link_state::opening;
    out.issue(open_backend{row.id, 1});
}

void owner_links::close(owned_server& row, outbox& out)
{
    if (row.link != link_state::closed) {
        row.link = link_state::closed;
        out.issue(close_backend{row.id});
    }
    m_sender.fail_in_flight(row);
}

void owner_links::connected(owned_server& row, const backend_hello& hello,
                            time_point now, outbox& out)
{
    if (row.link == link_state::closed) {
        out.issue(close_backend{row.id});
        return;
    }
    const bool same_process = row.process == hello.server;
    if (row.link == link_state::up && same_process) {
        return;
    }
    check_refuted_crash(row, hello.server);
    if (row.link == link_state::up) {
        record_suspected_crash(row);
    }
    start_session(row, hello, now);
    m_sender.send_queued(row, now, out);
}

// Even if the incarnation is the same, a new connection is treated as a
// restart: the server may have dropped its caches together with its
// connections.
void owner_links::start_session(owned_server& row, const backend_hello& hello,
                                time_point now)
{
    if (row.process != hello.server) {
        ask_sender::clear_orphans(row);
    }
    row.link = link_state::up;
    row.process = hello.server;
    row.failed_connects = 0;
    row.last_active_at = now;
    row.versions = {row.id, hello.oldest, hello.newest};
    row.server_draining = hello.draining;
    row.server_draining_since = now;
    row.window.reset_to_cold(now);
    if (hello.draining) {
        m_sender.end_queue(row, shard_outcome::out_of_service);
    }
}

void owner_links::record_suspected_crash(owned_server& row)
{
    row.lost_requests = m_sender.fail_in_flight(row);
    if (!row.lost_requests.empty()) {
        m_suspected_crashes.push_back({row.id, row.lost_requests});
    }
}

void owner_links::check_refuted_crash(owned_server& row, incarnation process)
{
    const auto requests = std::exchange(row.lost_requests, {});
    if (!requests.empty() && row.process == process) {
        m_refuted_crashes.push_back({row.id, requests});
    }
}

void owner_links::lost(owned_server& row, bool was_connected, time_point now,
                       outbox& /*out*/)
{
    if (row.link == link_state::closed) {
        return;
    }
    row.link = link_state::closed;
    row.window.reset_to_cold(now);
    if (was_connected) {
        record_suspected_crash(row);
    }
    m_sender.end_queue(row, shard_outcome::shed);
    row.reconnect_at = now + reconnect_delay(row.failed_connects);
    ++row.failed_connects;
}

duration owner_links::reconnect_delay(std::uint32_t failures)
{
    constexpr std::uint32_t max_doublings = 8;
    const duration longest = std::min(
        max_reconnect_delay,
        first_reconnect_delay * (1U << std::min(failures, max_doublings)));
    const auto half = static_cast<std::uint64_t>(longest.count() / 2);
    return longest / 2 +
           duration(static_cast<duration::rep>(m_random.below(half + 1)));
}

void owner_links::tick(owned_server& row, time_point now, outbox& out)
{
    if (row.link == link_state::up && is_unresponsive(row, now)) {
        close(row, out);
        row.window.reset_to_cold(now);
        m_sender.end_queue(row, shard_outcome::shed);
        row.reconnect_at = now + reconnect_delay(0);
    }
    const bool probe = row.link == link_state::up && row.server_draining &&
                       row.idle() &&
                       now - row.server_draining_since >= drain_probe_interval;
    if (probe) {
        close(row, out);
        row.reconnect_at = now;
    }
    if (row.link == link_state::closed && !row.stopping && row.in_service &&
        now >= row.reconnect_at) {
        open(row, out);
    }
    if (row.idle() && !row.window.cold() &&
        now - row.last_active_at >= idle_limit) {
        row.window.reset_to_cold(now);
    }
}

std::vector<suspected_crash> owner_links::take_suspected_crashes()
{
    return std::exchange(m_suspected_crashes, {});
}

std::vector<suspected_crash> owner_links::take_refuted_crashes()
{
    return std::exchange(m_refuted_crashes, {});
}

} // namespace cranberrywood
