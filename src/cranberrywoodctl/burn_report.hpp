#ifndef CRANBERRYWOOD_CRANBERRYWOODCTL_BURN_REPORT_HPP
#define CRANBERRYWOOD_CRANBERRYWOODCTL_BURN_REPORT_HPP

#include "settings/settings.hpp"
#include "systems/queries/level_report.hpp"

#include <map>
#include <optional>

namespace cranberrywood::ctl {

/**
 * Burn of one error budget: 1 uses it up exactly at the objective, more uses
 * it up faster. Unset when nothing was counted.
 */
using burn_rate = std::optional<double>;

/** Burn of a workspace's requests to a service over one window. */
struct burn_row
{
    std::string workspace;
    std::string service;
    double window_seconds = 0;
    level_counts counts;
    burn_rate latency;
    burn_rate coverage;
    burn_rate refusals;
};

/** Sums the counts of several VMs and computes the burn of each budget. */
class burn_report
{
public:
    /** Takes the service levels of some settings; others keep defaults. */
    void use_levels(const settings_index& settings);

    /**
     * Adds the levels of one VM's `/status`. Returns false, and adds
     * nothing, when the text is no such status.
     */
    bool add_status(const std::string& text);

    /** Returns the rows by workspace, service and window. */
    std::vector<burn_row> rows() const;

private:
    struct row_key
    {
        std::string workspace;
        std::string service;
        double window_seconds = 0;

        bool operator<(const row_key& other) const;
    };

    std::map<std::string, service_level_settings> m_levels;
    std::map<row_key, level_counts> m_counts;
};

/** Returns the rows as an aligned table. */
std::string burn_text(const std::vector<burn_row>& rows);

/** Returns the rows as a JSON array. */
std::string burn_json(const std::vector<burn_row>& rows);

/** Returns a window's length as people write it. */
std::string window_text(double seconds);

} // namespace cranberrywood::ctl

#endif
