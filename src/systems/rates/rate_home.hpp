#ifndef CRANBERRYWOOD_SYSTEMS_RATES_RATE_HOME_HPP
#define CRANBERRYWOOD_SYSTEMS_RATES_RATE_HOME_HPP

#include "core/outbox.hpp"
#include "core/role_view.hpp"
#include "systems/rates/token_bucket.hpp"

#include <map>
#include <memory>

namespace cranberrywood {

/**
 * Token buckets of the workspaces whose home is this VM. Entry VMs borrow
 * tokens as loans that expire before another VM can acquire the home's lease.
 * Tokens in the bucket and in unexpired loans together never exceed the burst,
 * so the requests admitted by all VMs stay within burst + rate x time in every
 * window.
 */
class rate_home
{
public:
    explicit rate_home(role_view& roles);

    /** Applies new rates and bursts. */
    void settings_changed(std::shared_ptr<const settings_index> settings,
                          time_point now);

    /** Makes this VM the home of a workspace, with an empty bucket. */
    void start(workspace_id workspace, time_point now);

    /** Ends this VM's role as the home of a workspace. */
    void stop(workspace_id workspace);

    /** Stops granting loans before the home moves to another VM. */
    void drain(workspace_id workspace);

    /** Returns whether no loan of the workspace can still be spent. */
    bool drained(workspace_id workspace, time_point now) const;

    /** Handles an entry VM's ask; answers it at once or in a later tick. */
    void receive(vm_id from, const loan_ask& ask, time_point now, outbox& out);

    /** Resets a VM's round: its new process counts rounds from the start. */
    void peer_restarted(vm_id vm);

    /** Answers asks that wait for tokens and drops idle borrowers. */
    void tick(time_point now, outbox& out);

    /** Returns the tokens in the bucket and in unexpired loans; for tests. */
    std::uint64_t committed_tokens(workspace_id workspace,
                                   time_point now) const;

    /** Returns the number of workspaces whose home is this VM. */
    std::size_t home_count() const;
    /** Returns the number of borrowers of all these workspaces. */
    std::size_t borrower_count() const;

private:
    /** Tokens that a borrower may spend until a time. */
    struct loan
    {
        std::uint64_t tokens = 0;
        time_point until;

        std::uint64_t unexpired(time_point now) const
        {
            return now < until ? tokens : 0;
        }
    };

    /** Loans, waiting ask and recent grants of one entry VM. */
    struct borrower
    {
        std::uint64_t round = 0;
        loan held;
        loan granted;
        std::uint64_t wanted = 0;
        time_point asked_at;
        std::uint64_t recent = 0;
    };

    struct home
    {
        explicit home(time_point now) : bucket(now), decayed_at(now) {}

        token_bucket bucket;
        time_point decayed_at;
        bool draining = false;
        std::map<vm_id, borrower> borrowers;
    };

    using borrowers_by_vm = std::map<vm_id, borrower>;

    const workspace_settings* find_limits(workspace_id workspace) const;
    std::uint64_t free_burst(workspace_id workspace, const home& h,
                             time_point now) const;
    void refill(workspace_id workspace, home& h, time_point now) const;
    void apply_ask(workspace_id workspace, home& h, borrower& b,
                   const loan_ask& ask, time_point now) const;
    void answer_waiting(workspace_id workspace, home& h, time_point now,
                        outbox& out);
    void grant(workspace_id workspace, home& h, borrowers_by_vm::value_type& b,
               std::uint64_t tokens, time_point now, outbox& out) const;
    void decay_recent(home& h, time_point now) const;
    duration loan_validity(workspace_id workspace, time_point now) const;
    duration with_drift(duration d) const;

    role_view& m_roles;
    std::shared_ptr<const settings_index> m_settings;
    std::map<workspace_id, home> m_homes;
};

} // namespace cranberrywood

#endif
