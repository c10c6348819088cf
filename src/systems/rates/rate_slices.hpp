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

/** An ask and the address of the VM that it is sent to. */
struct addressed_ask
{
    std::string to;
    token_ask ask;
};

enum class take_result : std::uint8_t
{
    /** The request is admitted. */
    granted,
    /** This VM has no token; other VMs may have one. */
    ask_others,
    /** This VM has no token, and all holders refused a moment ago. */
    refused,
};

struct take_outcome
{
    take_result result = take_result::granted;
    /** Time after which a retry may find a token. */
    duration retry_after{0};
};

/**
 * Distributed rate limiter of the workspaces. A few VMs, chosen by rendezvous
 * hashing, each hold an equal slice of a workspace's rate and lend tokens to
 * other VMs on request. A lender deducts tokens before it grants them, and
 * borrowed tokens expire with their term, so admitted requests never exceed
 * the rate even under message loss or network partitions.
 */
class rate_slices
{
public:
    /** The directory must outlive this object. */
    explicit rate_slices(const member_directory& members);

    /** Applies the limits of a new configuration. */
    void catalogue_changed(std::shared_ptr<const catalogue> limits,
                           time_point now);

    /** Takes one token of a workspace, if there is one. */
    take_outcome take(workspace_id workspace, time_point now);

    /**
     * Returns asks for the tokens that waiting requests need; none while an
     * earlier ask is in flight or after every holder has refused.
     */
    std::vector<addressed_ask> make_asks(workspace_id workspace,
                                         std::uint32_t waiting, time_point now);
    /** Returns asks for the tokens that the expected demand needs. */
    std::vector<addressed_ask> make_prefetch_asks(time_point now);

    /** Lends tokens to a peer; a grant of zero tokens is a refusal. */
    token_grant lend(const token_ask& ask, time_point now);
    /** Adds the loan of a grant; drops a grant of an unknown ask. */
    void receive_grant(const token_grant& grant, time_point now);

    /** Returns whether this VM holds a slice of a workspace's rate. */
    bool is_holder(workspace_id workspace, time_point now);

private:
    struct loan
    {
        std::uint64_t tokens = 0;
        time_point until;
    };

    /** Tokens, loans and ask state of one workspace on this VM. */
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
        time_point no_asks_until;
    };
    struct sent_ask
    {
        workspace_id workspace;
        time_point at;
        std::string to;
    };
    /** A holder whose last asks were not answered in time. */
    struct silent_holder
    {
        std::uint32_t missed = 0;
        time_point asked_again_at;
    };
    struct holder_set
    {
        std::vector<std::string> addresses;
        bool self = false;
    };

    const workspace_entry* find_limit(workspace_id workspace) const;
    slice& slice_of(workspace_id workspace, time_point now);
    const holder_set& holders_of(const workspace_entry& entry);
    void refill(const workspace_entry& entry, slice& s, time_point now);
    static void drop_expired(slice& s, time_point now);
    static std::uint64_t available_tokens(const slice& s);
    /** Returns a live holder that has not been asked yet. */
    std::optional<std::string>
    next_holder(const workspace_entry& entry,
                const std::vector<std::string>& asked, time_point now);
    addressed_ask make_ask(const std::string& to, workspace_id workspace,
                           std::uint64_t tokens, time_point now);
    void drop_old_asks(time_point now);

    void record_silence(const std::string& holder, time_point now);
    bool may_ask(const std::string& holder, time_point now) const;

    const member_directory& m_members;
    std::unordered_map<std::string, silent_holder> m_silent;
    std::shared_ptr<const catalogue> m_limits;
    std::uint64_t m_members_version = 0;
    std::unordered_map<workspace_id, holder_set> m_holders;
    std::unordered_map<workspace_id, slice> m_slices;
    std::map<std::uint64_t, sent_ask> m_asks;
    std::uint64_t m_last_ask = 0;
};

} // namespace cranberrywood

#endif
