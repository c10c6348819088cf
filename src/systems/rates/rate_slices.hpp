#ifndef CRANBERRYWOOD_SYSTEMS_RATES_RATE_SLICES_HPP
#define CRANBERRYWOOD_SYSTEMS_RATES_RATE_SLICES_HPP

#include "core/gateway_datagram.hpp"
#include "systems/demand_estimate.hpp"
#include "systems/token_bucket.hpp"
#include "tables/catalogue.hpp"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace cranberrywood {

/** An ask and the VM that it goes to. */
struct addressed_ask
{
    std::string to;
    rate_ask ask;
};

/**
 * This VM's slices of the workspaces' rates. Each VM has an equal slice, and
 * lends what it does not need to VMs that ask. A lender deducts first, the
 * borrower stops before the term ends, and the lender takes back after it;
 * so the sum over all VMs never passes a rate, whatever is lost or cut.
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

    /** Returns the asks that bring the slices up to the demand. */
    std::vector<addressed_ask> asks(const std::vector<std::string>& peers,
                                    time_point now);
    /** Lends to a peer what it asks for and this VM does not need. */
    std::optional<rate_grant> lend(const std::string& to, const rate_ask& ask,
                                   time_point now);
    /** Takes a loan; a grant of an ask that is not known is dropped. */
    void borrowed(const std::string& from, const rate_grant& grant);

    /** Returns the rate that this VM may admit, in thousandths a second. */
    std::uint64_t rate_milli(workspace_id workspace, time_point now);

private:
    struct loan
    {
        std::uint64_t rate_milli = 0;
        time_point until;
    };
    using loans = std::map<std::string, loan>;

    struct slice
    {
        explicit slice(time_point now) : tokens(now) {}
        token_bucket tokens;
        demand_estimate demand;
        loans lent;
        loans held;
    };
    struct sent_ask
    {
        workspace_id workspace;
        time_point at;
    };

    const workspace_entry* limited(workspace_id workspace) const;
    slice& slice_of(workspace_id workspace, time_point now);
    std::uint64_t own_milli(const workspace_entry& entry) const;
    std::uint64_t rate_of(const workspace_entry& entry, slice& s,
                          time_point now) const;
    static std::uint64_t sum(loans& of, time_point now);
    static std::uint64_t sum_after(const loans& of, time_point at);

    std::shared_ptr<const catalogue> m_limits;
    std::uint32_t m_vms = 1;
    std::unordered_map<workspace_id, slice> m_slices;
    std::map<std::uint64_t, sent_ask> m_asks;
    std::uint64_t m_last_ask = 0;
};

} // namespace cranberrywood

#endif
