#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_VERSION_PINS_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_VERSION_PINS_HPP

#include "core/messages.hpp"
#include "settings/settings.hpp"

#include <set>

namespace cranberrywood {

/**
 * Tracks which index versions the backend servers report in their replies, and
 * chooses the version that a new query is pinned to.
 */
class version_pins
{
public:
    /** Records the versions that a server holds. */
    void observe(const held_versions& held, time_point now);

    /** Expires old reports; to be called on each tick. */
    void tick(time_point now);

    /**
     * Returns the newest version that a replica in service holds for every
     * shard of the service; without one, the version that covers the most keys.
     */
    index_version pin(service_id service, const settings_index& settings);

    /** Returns whether a server holds a version, or has no current report. */
    bool may_hold(backend_server_id server, index_version version) const;

private:
    struct reported_versions
    {
        held_versions held;
        time_point at;
    };
    struct pinned_version
    {
        revision_number revision;
        index_version version;
    };

    index_version choose(service_id service,
                         const settings_index& settings) const;
    std::set<index_version> candidates(service_id service,
                                       const settings_index& settings) const;
    std::uint64_t covered_keys(service_id service, index_version version,
                               const settings_index& settings) const;
    bool has_replica(shard_id shard, index_version version,
                     index_version published,
                     const settings_index& settings) const;

    std::unordered_map<backend_server_id, reported_versions> m_reported;
    /** Versions chosen since m_reported last changed. */
    std::unordered_map<service_id, pinned_version> m_pinned;
};

} // namespace cranberrywood

#endif
