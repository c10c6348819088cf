#include "systems/servers/owner_links.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

constexpr duration first_back_off = std::chrono::milliseconds(50);
constexpr duration longest_back_off = std::chrono::seconds(2);

// Time after a request's deadline at which its silent server is reset.
constexpr duration silence_limit = std::chrono::seconds(2);

// A server without work for this long may have lost its caches.
constexpr duration idle_limit = std::chrono::seconds(60);

// Interval between links that ask a draining server whether it still drains.
constexpr duration drain_probe_every = std::chrono::seconds(5);

bool silent(const owned_server& row, time_point now)
{
    return std::any_of(row.in_flight.begin(), row.in_flight.end(),
                       [now](const auto& sent) {
                           return now - sent.second.deadline >= silence_limit;
                       });
}

} // namespace

owner_links::owner_links(ask_sender& sends, random_source& random)
    : m_sends(sends), m_random(random)
{
}

// Two owners may hold links at a time while a role moves, so that each takes
// at most half of the limit. One connection carries any number of requests.
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
    m_sends.fail_in_flight(row);
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
    check_survival(row, hello.server);
    if (row.link == link_state::up) {
        note_death(row);
    }
    begin(row, hello, now);
    m_sends.send_queued(row, now, out);
}

// A reset is a sign of a new process even when the incarnation is the same:
// a server may have dropped its caches together with its connections.
void owner_links::begin(owned_server& row, const backend_hello& hello,
                        time_point now)
{
    if (row.process != hello.server) {
        ask_sender::clear_orphans(row);
    }
    row.link = link_state::up;
    row.process = hello.server;
    row.failed_opens = 0;
    row.last_work = now;
    row.versions = {row.id, hello.oldest, hello.newest};
    row.server_drains = hello.draining;
    row.server_drains_since = now;
    row.window.reset_to_cold(now);
    if (hello.draining) {
        m_sends.end_queue(row, shard_outcome::out_of_service);
    }
}

void owner_links::note_death(owned_server& row)
{
    row.lost_requests = m_sends.fail_in_flight(row);
    if (!row.lost_requests.empty()) {
        m_deaths.push_back({row.id, row.lost_requests});
    }
}

void owner_links::check_survival(owned_server& row, incarnation process)
{
    const auto requests = std::exchange(row.lost_requests, {});
    if (!requests.empty() && row.process == process) {
        m_survivals.push_back({row.id, requests});
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
        note_death(row);
    }
    m_sends.end_queue(row, shard_outcome::shed);
    row.reopen_at = now + back_off(row.failed_opens);
    ++row.failed_opens;
}

duration owner_links::back_off(std::uint32_t failures)
{
    constexpr std::uint32_t max_doublings = 8;
    const duration longest =
        std::min(longest_back_off,
                 first_back_off * (1U << std::min(failures, max_doublings)));
    const auto half = static_cast<std::uint64_t>(longest.count() / 2);
    return longest / 2 +
           duration(static_cast<duration::rep>(m_random.below(half + 1)));
}

void owner_links::tick(owned_server& row, time_point now, outbox& out)
{
    if (row.link == link_state::up && silent(row, now)) {
        close(row, out);
        row.window.reset_to_cold(now);
        m_sends.end_queue(row, shard_outcome::shed);
        row.reopen_at = now + back_off(0);
    }
    const bool probe = row.link == link_state::up && row.server_drains &&
                       row.idle() &&
                       now - row.server_drains_since >= drain_probe_every;
    if (probe) {
        close(row, out);
        row.reopen_at = now;
    }
    if (row.link == link_state::closed && !row.stopping && row.in_service &&
        now >= row.reopen_at) {
        open(row, out);
    }
    if (row.idle() && !row.window.cold() && now - row.last_work >= idle_limit) {
        row.window.reset_to_cold(now);
    }
}

std::vector<suspected_crash> owner_links::take_suspected_crashes()
{
    return std::exchange(m_deaths, {});
}

std::vector<suspected_crash> owner_links::take_refuted_crashes()
{
    return std::exchange(m_survivals, {});
}

} // namespace cranberrywood
