#include "systems/servers/replica_choice.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

constexpr std::int64_t latency_samples = 8;

// Latency assumed for a server without observations, and the lower bound of
// observed ones.
constexpr duration default_latency = std::chrono::milliseconds(1);

// A queue length reported by the owner loses half of its weight in this time.
constexpr duration queue_half_life = std::chrono::milliseconds(50);
constexpr std::int64_t max_halvings = 16;

// An observed latency decays likewise, so that a server that was slow is tried
// again.
constexpr duration latency_half_life = std::chrono::seconds(1);

// A server no longer counts as cold after this time without a result, so that
// it is tried again.
constexpr duration cold_retention = std::chrono::seconds(2);

constexpr duration min_avoid = std::chrono::milliseconds(100);
constexpr std::uint32_t max_doublings = 5;

// A cold server has less capacity, as it spends much of its time warming up.
constexpr double cold_load_factor = 2.0;

// Another data centre is used when the local one is this much more loaded.
constexpr double local_preference = 2.0;

bool counts_as_failure(shard_outcome outcome)
{
    switch (outcome) {
    case shard_outcome::done:
    case shard_outcome::cancelled:
    case shard_outcome::rule_refused:
    case shard_outcome::too_late:
    case shard_outcome::version_gone:
    case shard_outcome::shed:
        return false;
    default:
        return true;
    }
}

} // namespace

replica_choice::replica_choice(data_centre_id own) : m_own_data_centre(own) {}

void replica_choice::settings_changed(
    std::shared_ptr<const settings_index> settings)
{
    m_settings = std::move(settings);
    for (auto it = m_observations.begin(); it != m_observations.end();) {
        const bool known = m_settings->find(it->first) != nullptr;
        it = known ? std::next(it) : m_observations.erase(it);
    }
}

void replica_choice::sent(backend_server_id server)
{
    ++m_observations[server].outstanding;
}

void replica_choice::observe(const shard_result& result, duration latency,
                             time_point now)
{
    observation& o = m_observations[result.backend_server];
    o.outstanding -= o.outstanding > 0 ? 1 : 0;
    o.queue_length = result.queue_length;
    o.cold = result.cold;
    o.updated_at = now;
    if (result.outcome == shard_outcome::done) {
        o.failures = 0;
        o.avoid_until = now;
        o.latency = o.latency == duration::zero()
                        ? latency
                        : o.latency + (latency - o.latency) / latency_samples;
    } else if (counts_as_failure(result.outcome)) {
        o.avoid_until = now + min_avoid * (1U << o.failures);
        o.failures = std::min(o.failures + 1, max_doublings);
    }
}

// The time waited is a lower bound of the latency.
void replica_choice::record_abandoned(backend_server_id server, duration waited,
                                      time_point now)
{
    observation& o = m_observations[server];
    o.outstanding -= o.outstanding > 0 ? 1 : 0;
    o.updated_at = now;
    if (waited > o.latency) {
        o.latency += (waited - o.latency) / latency_samples;
    }
}

std::optional<backend_server_id>
replica_choice::choose(const std::vector<backend_server_id>& candidates,
                       bool allow_cold, random_source& random,
                       time_point now) const
{
    std::vector<backend_server_id> local;
    std::vector<backend_server_id> remote;
    std::vector<backend_server_id> failed;
    for (const auto server : candidates) {
        if (!allow_cold && is_cold(server, now)) {
            continue;
        }
        if (failed_recently(server, now)) {
            failed.push_back(server);
        } else {
            (is_local(server) ? local : remote).push_back(server);
        }
    }
    const auto best_local = less_loaded(local, random, now);
    const auto best_remote = less_loaded(remote, random, now);
    if (best_local && best_remote) {
        const bool use_local = load_of(*best_local, now) <=
                               local_preference * load_of(*best_remote, now);
        return use_local ? best_local : best_remote;
    }
    if (best_local || best_remote) {
        return best_local ? best_local : best_remote;
    }
    return less_loaded(failed, random, now);
}

std::optional<backend_server_id>
replica_choice::less_loaded(const std::vector<backend_server_id>& servers,
                            random_source& random, time_point now) const
{
    if (servers.empty()) {
        return std::nullopt;
    }
    const std::size_t first = random.below(servers.size());
    if (servers.size() == 1) {
        return servers[first];
    }
    const std::size_t step = 1 + random.below(servers.size() - 1);
    const backend_server_id a = servers[first];
    const backend_server_id b = servers[(first + step) % servers.size()];
    return load_of(b, now) < load_of(a, now) ? b : a;
}

const replica_choice::observation*
replica_choice::find(backend_server_id server) const
{
    const auto found = m_observations.find(server);
    return found == m_observations.end() ? nullptr : &found->second;
}

bool replica_choice::is_cold(backend_server_id server, time_point now) const
{
    const observation* o = find(server);
    return o != nullptr && o->cold && now - o->updated_at < cold_retention;
}

bool replica_choice::failed_recently(backend_server_id server,
                                     time_point now) const
{
    const observation* o = find(server);
    return o != nullptr && now < o->avoid_until;
}

bool replica_choice::is_local(backend_server_id server) const
{
    const auto* known = m_settings ? m_settings->find(server) : nullptr;
    return known != nullptr && known->data_centre == m_own_data_centre;
}

// Expected time to answer one more sub-request, up to a constant factor.
double replica_choice::load_of(backend_server_id server, time_point now) const
{
    const observation* o = find(server);
    if (o == nullptr) {
        return static_cast<double>(default_latency.count());
    }
    const duration age = now - o->updated_at;
    const auto halvings = [age](duration half_life) {
        return std::min<std::int64_t>(age / half_life, max_halvings);
    };
    const std::uint32_t queue = o->queue_length >> halvings(queue_half_life);
    const auto waiting =
        static_cast<double>(1 + std::max(o->outstanding, queue));
    const duration observed_latency =
        o->latency / (std::int64_t(1) << halvings(latency_half_life));
    const duration latency = std::max(observed_latency, default_latency);
    const double cold = is_cold(server, now) ? cold_load_factor : 1.0;
    return cold * waiting * static_cast<double>(latency.count());
}

} // namespace cranberrywood
