#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_SERVICE_LEVELS_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_SERVICE_LEVELS_HPP

#include "core/results.hpp"
#include "settings/settings.hpp"
#include "systems/queries/level_report.hpp"

#include <deque>
#include <map>
#include <memory>

namespace cranberrywood {

/**
 * Counts the outcomes of this VM's requests against the service levels, per
 * minute, so that the error-budget burn can be computed over windows of up to
 * six hours.
 */
class service_levels
{
public:
    /** Applies a settings revision. */
    void settings_changed(std::shared_ptr<const settings_index> settings);

    /** Records the answer to a request. */
    void record_answer(workspace_id workspace, service_id service,
                       const response& answer, duration took, time_point now);

    /** Returns the counts of each workspace and service over each window. */
    std::vector<level_report> report(time_point now) const;

private:
    struct minute
    {
        std::int64_t number = 0;
        level_counts counts;
    };
    using minutes_key = std::pair<workspace_id, service_id>;

    duration target_of(service_id service) const;

    std::shared_ptr<const settings_index> m_settings;
    std::map<minutes_key, std::deque<minute>> m_minutes;
};

} // namespace cranberrywood

#endif
