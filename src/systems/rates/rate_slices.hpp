#ifndef CRANBERRYWOOD_SYSTEMS_RATES_RATE_SLICES_HPP
#define CRANBERRYWOOD_SYSTEMS_RATES_RATE_SLICES_HPP

#include "systems/token_bucket.hpp"
#include "tables/catalogue.hpp"

#include <memory>
#include <unordered_map>

namespace cranberrywood {

/**
 * This VM's slices of the workspaces' rates. Each VM has an equal slice of
 * rate and burst, so that the sum over all VMs never passes the limits,
 * however the fleet is cut.
 */
class rate_slices
{
public:
    /** Takes the limits of a new configuration. */
    void catalogue_changed(std::shared_ptr<const catalogue> limits);
    /** Takes the number of VMs that may share the limits. */
    void fleet_changed(std::uint32_t vms);

    /**
     * Takes one request out of a workspace's slice. Returns nothing when it
     * had one, else the time after which it will have.
     */
    std::optional<duration> take(workspace_id workspace, time_point now);

private:
    struct slice
    {
        explicit slice(time_point now) : tokens(now) {}
        token_bucket tokens;
    };

    std::shared_ptr<const catalogue> m_limits;
    std::uint32_t m_vms = 1;
    std::unordered_map<workspace_id, slice> m_slices;
};

} // namespace cranberrywood

#endif
