#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_REPLICA_CHOICE_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_REPLICA_CHOICE_HPP

#include "core/messages.hpp"
#include "core/random_source.hpp"
#include "settings/settings.hpp"

#include <memory>
#include <optional>

namespace cranberrywood {

/**
 * Selects the replica of a shard for a sub-request from this VM's observations:
 * the less loaded of two random ones, preferring the local data centre.
 */
class replica_choice
{
public:
    explicit replica_choice(data_centre_id own);

    /** Applies new settings. */
    void settings_changed(std::shared_ptr<const settings_index> settings);

    /** Records that a sub-request was sent to a server. */
    void sent(backend_server_id server);
    /** Records a result and the latency with which it arrived. */
    void observe(const shard_result& result, duration latency, time_point now);
    /** Records that no result arrived, or that it is no longer awaited. */
    void record_abandoned(backend_server_id server, duration waited,
                          time_point now);

    /**
     * Returns the best of the candidates, or none if none may be used. Cold
     * servers are excluded unless allowed; servers that failed recently are
     * used only if there are no others.
     */
    std::optional<backend_server_id>
    choose(const std::vector<backend_server_id>& candidates, bool allow_cold,
           random_source& random, time_point now) const;

private:
    struct observation
    {
        std::uint32_t outstanding = 0;
        std::uint32_t queue_length = 0;
        bool cold = false;
        duration latency{0};
        time_point updated_at;
        time_point avoid_until;
        std::uint32_t failures = 0;
    };

    const observation* find(backend_server_id server) const;
    bool is_cold(backend_server_id server, time_point now) const;
    bool failed_recently(backend_server_id server, time_point now) const;
    bool is_local(backend_server_id server) const;
    double load_of(backend_server_id server, time_point now) const;
    std::optional<backend_server_id>
    less_loaded(const std::vector<backend_server_id>& servers,
                random_source& random, time_point now) const;

    data_centre_id m_own_data_centre;
    std::shared_ptr<const settings_index> m_settings;
    std::unordered_map<backend_server_id, observation> m_observations;
};

} // namespace cranberrywood

#endif
