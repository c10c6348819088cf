#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_VERSION_PINS_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_VERSION_PINS_HPP

#include "core/messages.hpp"
#include "settings/settings.hpp"

#include <set>

namespace cranberrywood {

/**
 * Knows which index versions the backend servers hold, as their replies
 * tell, and chooses the version that a new query is pinned to.
 */
class version_pins
{
public:
    /** Takes note of the versions that a server holds. */
    void observe(const held_versions& held, time_point now);

    /** Forgets what was not told again for long; call it each tick. */
    void tick(time_point now);

    /**
     * Returns the newest version that every shard of the service has at a
     * replica in service; when none is, the one that covers most keys.
     */
    index_version pin(service_id service, const settings_index& settings);

    /**
     * Returns whether a server may hold a version: it is known to, or
     * nothing is known of it.
     */
    bool may_hold(backend_server_id server, index_version version) const;

private:
    struct known
    {
        held_versions held;
        time_point at;
    };
    struct choice
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

    std::unordered_map<backend_server_id, known> m_known;
    /** Choices made since m_known last changed. */
    std::unordered_map<service_id, choice> m_choices;
};

} // namespace cranberrywood

#endif
