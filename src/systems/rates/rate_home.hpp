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
 * tokens as loans that expire before the home's lease could pass on. Tokens in
 * the bucket and open loans together never exceed the burst, so requests
 * admitted over all VMs stay within burst + rate x time in every window.
 */
class rate_home
{
public:
    explicit rate_home(role_view& roles);

    /** Takes new rates and bursts. */
    void settings_changed(std::shared_ptr<const settings_index> settings,
                          time_point now);

    /** Becomes the home of a workspace, with an empty bucket. */
    void start(workspace_id workspace, time_point now);

    /** Is no longer the home of a workspace. */
    void stop(workspace_id workspace);

    /** Grants no more loans, so that the home can pass on gracefully. */
    void drain(workspace_id workspace);

    /** Returns whether no loan of the workspace can still be spent. */
    bool drained(workspace_id workspace, time_point now) const;

    /** Answers an entry VM's ask, at once or by a later tick. */
    void receive(vm_id from, const loan_ask& ask, time_point now, outbox& out);

    /** Notes that a VM has a new process, whose rounds start again. */
    void peer_restarted(vm_id vm);

    /** Answers the asks that waited for tokens, and drops idle entries. */
    void tick(time_point now, outbox& out);

    /** Returns tokens in the bucket plus open loans, for checks. */
    std::uint64_t committed_tokens(workspace_id workspace,
                                   time_point now) const;

    /** Returns how many homes and borrowers are kept. */
    std::size_t home_count() const;
    std::size_t borrower_count() const;

private:
    /** Tokens that a borrower may spend until a time. */
    struct loan
    {
        std::uint64_t tokens = 0;
        time_point until;

        std::uint64_t open(time_point now) const
        {
            return now < until ? tokens : 0;
        }
    };

    /** What one entry VM has borrowed, asks for and got lately. */
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
        explicit home(time_point now) : bucket(now), aged_at(now) {}

        token_bucket bucket;
        time_point aged_at;
        bool draining = false;
        std::map<vm_id, borrower> borrowers;
    };

    using borrowers_by_vm = std::map<vm_id, borrower>;

    const workspace_settings* rights_of(workspace_id workspace) const;
    std::uint64_t room(workspace_id workspace, const home& h,
                       time_point now) const;
    void refill(workspace_id workspace, home& h, time_point now) const;
    void settle(workspace_id workspace, home& h, borrower& b,
                const loan_ask& ask, time_point now) const;
    void serve(workspace_id workspace, home& h, time_point now, outbox& out);
    void grant(workspace_id workspace, home& h, borrowers_by_vm::value_type& b,
               std::uint64_t tokens, time_point now, outbox& out) const;
    void age(home& h, time_point now) const;
    duration loan_life(workspace_id workspace, time_point now) const;
    duration with_drift(duration d) const;

    role_view& m_roles;
    std::shared_ptr<const settings_index> m_settings;
    std::map<workspace_id, home> m_homes;
};

} // namespace cranberrywood

#endif
