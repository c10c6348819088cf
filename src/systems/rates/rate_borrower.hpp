#ifndef CRANBERRYWOOD_SYSTEMS_RATES_RATE_BORROWER_HPP
#define CRANBERRYWOOD_SYSTEMS_RATES_RATE_BORROWER_HPP

#include "core/outbox.hpp"
#include "core/role_view.hpp"
#include "systems/rates/demand_estimate.hpp"
#include "systems/rates/token_bucket.hpp"

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace cranberrywood {

/** Decision whether a request is admitted under its workspace's rate. */
struct rate_decision
{
    caller_token caller;
    bool granted = false;
    /** Home that last granted no tokens; unset if none did. */
    vm_id refused_at;
};

/**
 * Rate limiter of an entry VM. Admits requests against tokens borrowed from
 * the homes of their workspaces. Loans expire and are sized by the expected
 * demand; at most one ask per workspace is in flight.
 */
class rate_borrower
{
public:
    explicit rate_borrower(role_view& roles);

    /**
     * Applies new settings; the bursts determine how soon spent tokens are
     * reported to a home.
     */
    void settings_changed(std::shared_ptr<const settings_index> settings);

    /**
     * Requests one token. The decision is returned by take_decisions(): at
     * once if a loan has a token left, otherwise within max_wait.
     */
    void request(caller_token caller, workspace_id workspace, duration max_wait,
                 time_point now, outbox& out);

    /** Cancels a waiting request. */
    void cancel(caller_token caller);

    /** Returns and clears the decisions made since the last call. */
    std::vector<rate_decision> take_decisions();

    /** Handles a grant; drops it unless it answers the last ask. */
    void receive(vm_id from, const loan_grant& grant, time_point now,
                 outbox& out);

    /**
     * Refuses requests past their deadline, sends due asks, reports spent
     * tokens and returns unneeded ones.
     */
    void tick(time_point now, outbox& out);

    /** Returns all tokens to their homes when this VM leaves the fleet. */
    void release_all(time_point now, outbox& out);

    /** Returns the unspent and unexpired tokens, in thousandths. */
    std::uint64_t tokens_held(workspace_id workspace, time_point now) const;

    /** Returns the number of waiting requests. */
    std::size_t waiting_count() const;

    /** Returns the number of workspaces with state on this VM. */
    std::size_t pool_count() const;

private:
    struct loan
    {
        std::uint64_t tokens = 0;
        time_point until;
    };

    struct waiting_request
    {
        caller_token caller;
        time_point deadline;
    };

    /** Loans, waiting requests and ask state of one workspace. */
    struct pool
    {
        std::vector<loan> loans;
        std::deque<waiting_request> queue;
        demand_estimate demand;
        std::uint64_t round = 0;
        bool asking = false;
        vm_id asked;
        time_point asked_at;
        /** Tokens that the home counts as held, by the last ask and grant. */
        std::uint64_t reported = 0;
        time_point ask_again_at;
        time_point used_at;
        vm_id refused_at;
    };

    void admit_waiting(workspace_id workspace, pool& p, time_point now,
                       outbox& out);
    void refuse_expired(pool& p, time_point now);
    void ask_if_low(workspace_id workspace, pool& p, time_point now,
                    outbox& out);
    void report_spending_if_due(workspace_id workspace, pool& p, time_point now,
                                outbox& out);
    bool send_ask(workspace_id workspace, pool& p, std::uint64_t wanted,
                  std::uint64_t keep, time_point now, outbox& out);
    void check_ask_timeout(workspace_id workspace, pool& p, time_point now);
    void clear_home(workspace_id workspace, vm_id asked);
    std::uint64_t report_threshold(workspace_id workspace) const;
    void decide(const waiting_request& request, vm_id refused_at, bool granted);

    role_view& m_roles;
    std::shared_ptr<const settings_index> m_settings;
    std::map<workspace_id, pool> m_pools;
    std::map<caller_token, workspace_id> m_waiting;
    std::vector<rate_decision> m_decisions;
    /** Never reset: a late grant must not match the round of a newer ask. */
    std::uint64_t m_last_round = 0;
};

} // namespace cranberrywood

#endif
