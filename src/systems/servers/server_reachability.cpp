#include "systems/servers/server_reachability.hpp"

#include "core/log_codes.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Probes of one round. */
constexpr std::size_t round_size = 4;
/** Accepted probes of a round after which the links are back. */
constexpr std::size_t accepted_for_return = 3;
/** Time after which a failure of a server no longer counts. */
constexpr duration failure_window = 2s;
/** Servers that must fail before a round: this many, and a share of all. */
constexpr std::size_t min_failed_servers = 3;
constexpr std::size_t failed_servers_divisor = 8;
/** Time in which the probes of a round connect, if they ever do. */
constexpr duration round_time = 250ms;
/** Interval of the rounds while the links are lost. */
constexpr duration lost_interval = 500ms;
/** Bounds of the pause after a round that connected, doubled each time. */
constexpr duration min_calm_pause = 2s;
constexpr duration max_calm_pause = 16s;

bool is_link_failure(const exchange_ended& ended)
{
    const auto* failure = std::get_if<exchange_failure>(&ended.result);
    return failure != nullptr &&
           failure->fault != exchange_fault::invalid_answer &&
           failure->fault != exchange_fault::declined &&
           failure->fault != exchange_fault::over_connection_limit;
}

} // namespace

server_reachability::server_reachability(const server_table& servers,
                                         random_source& random)
    : m_servers(servers), m_random(random), m_calm_pause(min_calm_pause)
{
}

void server_reachability::exchange_ended(
    backend_server_id server, const cranberrywood::exchange_ended& ended,
    time_point now)
{
    if (!is_link_failure(ended)) {
        m_failed.erase(server);
        return;
    }
    m_failed[server] = now;
    const bool round_planned =
        m_next_round != time_point::max() || m_round_ends != time_point::max();
    if (m_lost || round_planned || now < m_no_round_before) {
        return;
    }
    for (auto it = m_failed.begin(); it != m_failed.end();) {
        it = now - it->second > failure_window ? m_failed.erase(it)
                                               : std::next(it);
    }
    if (m_failed.size() >= suspicious_count()) {
        m_next_round = now;
    }
}

std::size_t server_reachability::suspicious_count() const
{
    return std::max(min_failed_servers,
                    m_servers.size() / failed_servers_divisor);
}

void server_reachability::tick(time_point now, gateway_commands& out)
{
    if (now >= m_round_ends) {
        end_round(now, out);
    }
    if (now < m_next_round) {
        return;
    }
    m_next_round = time_point::max();
    m_accepted = 0;
    m_refused = 0;
    m_probing.clear();
    for (const backend_server_id server : choose_probes(now)) {
        m_probing.insert(server);
        out.push_back(
            probe_server{server, m_servers.find(server)->entry.address});
    }
    m_round_ends = now + round_time;
}

// Servers that have not failed are probed first: that those which failed cannot
// be reached is known.
std::vector<backend_server_id>
server_reachability::choose_probes(time_point now)
{
    std::vector<backend_server_id> sound;
    std::vector<backend_server_id> others;
    for (const backend_server_id id : m_servers.all()) {
        const server_row& row = *m_servers.find(id);
        if (row.unlisted_at && now >= *row.unlisted_at) {
            continue;
        }
        const bool failed = m_failed.count(id) != 0;
        (failed || row.entry.draining ? others : sound).push_back(id);
    }
    const auto shuffle = [this](std::vector<backend_server_id>& ids) {
        std::sort(ids.begin(), ids.end());
        for (std::size_t i = ids.size(); i > 1; --i) {
            std::swap(ids[i - 1], ids[m_random.below(i)]);
        }
    };
    shuffle(sound);
    shuffle(others);
    sound.insert(sound.end(), others.begin(), others.end());
    sound.resize(std::min(sound.size(), round_size));
    return sound;
}

void server_reachability::server_probed(
    const cranberrywood::server_probed& probed, time_point now,
    gateway_commands& out)
{
    if (m_probing.erase(probed.server) == 0) {
        return;
    }
    ++(probed.result == probe_result::accepted ? m_accepted : m_refused);
    if (m_probing.empty()) {
        end_round(now, out);
    }
}

// One connection proves that the links are not lost. Several are asked for
// before they count as back, so that a link that comes and goes does not.
void server_reachability::end_round(time_point now, gateway_commands& out)
{
    m_round_ends = time_point::max();
    const std::size_t unanswered = m_probing.size();
    m_probing.clear();
    const bool before = m_lost;
    const std::size_t asked = m_accepted + m_refused + unanswered;
    if (m_lost) {
        m_lost = m_accepted < std::min(accepted_for_return, asked);
    } else {
        m_lost = m_accepted == 0 && asked > 0;
    }
    if (m_lost) {
        m_next_round = now + lost_interval;
    } else {
        m_no_round_before = now + m_calm_pause;
        m_calm_pause = std::min(m_calm_pause * 2, max_calm_pause);
        m_failed.clear();
    }
    if (m_lost != before) {
        m_calm_pause = min_calm_pause;
        out.push_back(gateway_log{
            static_cast<std::uint32_t>(log_code::server_links_changed),
            std::string("state=") + (m_lost ? "lost" : "back") +
                " accepted=" + std::to_string(m_accepted) +
                " refused=" + std::to_string(m_refused) +
                " unanswered=" + std::to_string(unanswered) +
                " failed_servers=" + std::to_string(m_failed.size())});
    }
}

std::optional<time_point> server_reachability::next_wakeup() const
{
    const time_point next = std::min(m_next_round, m_round_ends);
    return next == time_point::max() ? std::nullopt : std::optional(next);
}

} // namespace cranberrywood
