#include "systems/queries/version_pins.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

constexpr duration report_lifetime = std::chrono::seconds(10);

bool within(const held_versions& held, index_version version)
{
    return held.oldest <= version && version <= held.newest;
}

} // namespace

void version_pins::observe(const held_versions& held, time_point now)
{
    reported_versions& k = m_reported[held.backend_server];
    const bool changed =
        k.held.oldest != held.oldest || k.held.newest != held.newest;
    if (changed) {
        m_pinned.clear();
    }
    k = {held, now};
}

void version_pins::tick(time_point now)
{
    for (auto it = m_reported.begin(); it != m_reported.end();) {
        if (now - it->second.at >= report_lifetime) {
            it = m_reported.erase(it);
            m_pinned.clear();
        } else {
            ++it;
        }
    }
}

index_version version_pins::pin(service_id service,
                                const settings_index& settings)
{
    pinned_version& made = m_pinned[service];
    const revision_number revision = settings.all().revision;
    if (!made.version.is_set() || made.revision != revision) {
        made = {revision, choose(service, settings)};
    }
    return made.version;
}

bool version_pins::may_hold(backend_server_id server,
                            index_version version) const
{
    const auto found = m_reported.find(server);
    return found == m_reported.end() || within(found->second.held, version);
}

index_version version_pins::choose(service_id service,
                                   const settings_index& settings) const
{
    index_version best;
    std::uint64_t most_keys = 0;
    for (const auto version : candidates(service, settings)) {
        const std::uint64_t keys = covered_keys(service, version, settings);
        if (!best.is_set() || keys >= most_keys) {
            best = version;
            most_keys = keys;
        }
    }
    return best;
}

// The best version is the oldest or the newest one of some server, or the
// published one: any version between two neighbouring candidates is held by the
// same servers.
std::set<index_version>
version_pins::candidates(service_id service,
                         const settings_index& settings) const
{
    std::set<index_version> found;
    found.insert(settings.find(service)->index);
    for (const auto shard : settings.shards_of(service)) {
        for (const auto server : settings.replicas_of(shard)) {
            const auto k = m_reported.find(server);
            if (k != m_reported.end()) {
                found.insert(k->second.held.oldest);
                found.insert(k->second.held.newest);
            }
        }
    }
    return found;
}

std::uint64_t version_pins::covered_keys(service_id service,
                                         index_version version,
                                         const settings_index& settings) const
{
    const index_version published = settings.find(service)->index;
    std::uint64_t keys = 0;
    for (const auto shard : settings.shards_of(service)) {
        if (has_replica(shard, version, published, settings)) {
            keys += settings.find(shard)->keys.size();
        }
    }
    return keys;
}

// A server without a current report counts for the published version only.
bool version_pins::has_replica(shard_id shard, index_version version,
                               index_version published,
                               const settings_index& settings) const
{
    const auto& replicas = settings.replicas_of(shard);
    return std::any_of(replicas.begin(), replicas.end(), [&](auto server) {
        if (!settings.in_service(*settings.find(server))) {
            return false;
        }
        const auto k = m_reported.find(server);
        return k == m_reported.end() ? version == published
                                     : within(k->second.held, version);
    });
}

} // namespace cranberrywood
