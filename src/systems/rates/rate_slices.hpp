#ifndef CRANBERRYWOOD_SYSTEMS_RATES_RATE_SLICES_HPP
#define CRANBERRYWOOD_SYSTEMS_RATES_RATE_SLICES_HPP

#include "core/gateway_datagram.hpp"
#include "systems/members/member_directory.hpp"
#include "systems/rates/demand_estimate.hpp"
#include "systems/rates/token_bucket.hpp"
#include "tables/catalogue.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace cranberrywood {

/** An ask and the VM that it goes to. */
struct addressed_ask
{
    std::string to;
    token_ask ask;
};

enum class take_result : std::uint8_t
{
    /** The request may run. */
    granted,
    /** No token is here; other VMs may have one. */
    ask_others,
    /** No token is here, and others had none a moment ago. */
    refused,
};

struct take_outcome
{
    take_result result = take_result::granted;
    /** Time after which a refused request may find a token. */
    duration retry_after{0};
};

/**
 * Tokens of the workspaces' rates. A few VMs by rendezvous hashing hold an
 * equal slice of a workspace's rate each, and lend tokens to VMs that ask.
 * A lender deducts before it grants, and a borrowed token ends with its
 * term; so what is admitted never passes the rate, whatever is lost or cut.
 */
class rate_slices
{
public:
    /** The directory must outlive the slices. */
    explicit rate_slices(const member_directory& members);

    /** Takes the limits of a new configuration. */
    void catalogue_changed(std::shared_ptr<const catalogue> limits,
                           time_point now);

    /** Takes one token of a workspace. */
    take_outcome take(workspace_id workspace, time_point now);

    /**
     * Returns asks for tokens that requests wait for; none while earlier
     * ones are on their way, or when every holder was asked in vain.
     */
    std::vector<addressed_ask> make_asks(workspace_id workspace,
                                         std::uint32_t waiting, time_point now);
    /** Returns asks for tokens that the demand will need in a moment. */
    std::vector<addressed_ask> make_prefetch_asks(time_point now);

    /** Lends tokens to a peer; a grant of none says that there are none. */
    token_grant lend(const token_ask& ask, time_point now);
    /** Takes a grant; one of an ask that is not known is dropped. */
    void receive_grant(const token_grant& grant, time_point now);

    /** Returns whether this VM holds a slice of a workspace's rate. */
    bool is_holder(workspace_id workspace, time_point now);

private:
    struct loan
    {
        std::uint64_t tokens = 0;
        time_point until;
    };

    /** What this VM has of one workspace. */
    struct slice
    {
        explicit slice(time_point now) : own(now) {}
        token_bucket own;
        demand_estimate demand;
        std::vector<loan> loans;
        /** Holders asked since the last grant or refusal. */
        std::vector<std::string> asked;
        std::uint32_t unanswered = 0;
        time_point asked_at;
        time_point dry_until;
    };
    struct sent_ask
    {
        workspace_id workspace;
        time_point at;
    };
    struct holder_set
    {
        std::vector<std::string> addresses;
        bool self = false;
    };

    const workspace_entry* limited(workspace_id workspace) const;
    slice& slice_of(workspace_id workspace, time_point now);
    const holder_set& holders_of(const workspace_entry& entry);
    void refill(const workspace_entry& entry, slice& s, time_point now);
    static void drop_ended(slice& s, time_point now);
    static std::uint64_t tokens_in_hand(const slice& s);
    /** Returns a live holder that was not asked yet. */
    std::optional<std::string>
    next_holder(const workspace_entry& entry,
                const std::vector<std::string>& asked, time_point now);
    addressed_ask ask(const std::string& to, workspace_id workspace,
                      std::uint64_t tokens, time_point now);
    void forget_old_asks(time_point now);

    const member_directory& m_members;
    std::shared_ptr<const catalogue> m_limits;
    std::uint64_t m_members_version = 0;
    std::unordered_map<workspace_id, holder_set> m_holders;
    std::unordered_map<workspace_id, slice> m_slices;
    std::map<std::uint64_t, sent_ask> m_asks;
    std::uint64_t m_last_ask = 0;
};

} // namespace cranberrywood

#endif
