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

/** Whether a waiting request may run within its workspace's rate. */
struct rate_decision
{
    caller_token caller;
    bool granted = false;
    /** VM that had no tokens for a refused request; unset when none spoke. */
    vm_id refused_at;
};

/**
 * Admits requests of this entry VM against tokens that it borrows from the
 * homes of their workspaces. Loans expire, and are sized by demand; at most
 * one ask per workspace is in flight.
 */
class rate_borrower
{
public:
    explicit rate_borrower(role_view& roles);

    /** Takes new bursts, which set how soon a home is told of spending. */
    void settings_changed(std::shared_ptr<const settings_index> settings);

    /**
     * Asks for one token. The decision comes by take_decisions(): at once
     * from a loan in hand, else after up to max_wait.
     */
    void request(caller_token caller, workspace_id workspace, duration max_wait,
                 time_point now, outbox& out);

    /** Withdraws a request that waits. */
    void cancel(caller_token caller);

    /** Takes the decisions since the last call. */
    std::vector<rate_decision> take_decisions();

    /** Takes the answer to an ask; any other than the last is dropped. */
    void receive(vm_id from, const loan_grant& grant, time_point now,
                 outbox& out);

    /** Refuses what waited too long, asks again, reports and returns. */
    void tick(time_point now, outbox& out);

    /** Gives back all tokens, when the VM leaves. */
    void release_all(time_point now, outbox& out);

    /** Returns unspent and unexpired tokens, in thousandths. */
    std::uint64_t tokens_held(workspace_id workspace, time_point now) const;

    /** Returns how many requests wait. */
    std::size_t waiting_count() const;

    /** Returns how many workspaces are kept. */
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

    /** What this VM has of one workspace. */
    struct pool
    {
        std::vector<loan> loans;
        std::deque<waiting_request> queue;
        demand_estimate demand;
        std::uint64_t round = 0;
        bool asking = false;
        vm_id asked;
        time_point asked_at;
        /** Tokens that the home counts as held, as far as this VM knows. */
        std::uint64_t reported = 0;
        time_point ask_again_at;
        time_point used_at;
        vm_id refused_at;
    };

    void serve(workspace_id workspace, pool& p, time_point now, outbox& out);
    void refuse_late(pool& p, time_point now);
    void ask_if_low(workspace_id workspace, pool& p, time_point now,
                    outbox& out);
    void report_if_due(workspace_id workspace, pool& p, time_point now,
                       outbox& out);
    bool send_ask(workspace_id workspace, pool& p, std::uint64_t wanted,
                  std::uint64_t keep, time_point now, outbox& out);
    void give_up_ask(workspace_id workspace, pool& p, time_point now);
    void forget_home(workspace_id workspace, vm_id asked);
    std::uint64_t report_threshold(workspace_id workspace) const;
    void decide(const waiting_request& request, vm_id refused_at, bool granted);

    role_view& m_roles;
    std::shared_ptr<const settings_index> m_settings;
    std::map<workspace_id, pool> m_pools;
    std::map<caller_token, workspace_id> m_waiting;
    std::vector<rate_decision> m_decisions;
    /** Never starts again, so that no late grant meets a newer ask. */
    std::uint64_t m_last_round = 0;
};

} // namespace cranberrywood

#endif
