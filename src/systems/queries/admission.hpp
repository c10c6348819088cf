#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_ADMISSION_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_ADMISSION_HPP

#include "core/outbox.hpp"
#include "systems/queries/fair_queue.hpp"
#include "systems/queries/request_check.hpp"
#include "systems/rates/rate_borrower.hpp"

#include <map>

namespace cranberrywood {

/**
 * Applies the workspace rate limit and the fair queue of this VM to checked
 * requests. No part of a request is sent before it is admitted.
 */
class admission
{
public:
    /** The referenced objects must outlive this object. */
    admission(const rights_check& rights, rate_borrower& rates);

    /** Applies a settings revision. */
    void settings_changed(std::shared_ptr<const settings_index> settings);

    /**
     * Requests rate tokens for a checked request, or queues it at once when it
     * has no workspace.
     */
    void accept(admitted_request request, time_point now, outbox& out);

    /**
     * Removes the request of a disconnected caller; returns whether it was
     * waiting.
     */
    bool caller_gone(caller_token token);

    /**
     * Queues requests whose tokens were granted and refuses those that were
     * denied tokens or cannot meet their deadline.
     */
    void tick(time_point now, outbox& out);

    /**
     * Returns the next request to start. Requests that lost their rights while
     * queued are refused; expired ones are dropped and refused in the next
     * tick.
     */
    std::optional<admitted_request> next(time_point now, outbox& out);

    /** Returns the number of requests that wait for tokens or a slot. */
    std::size_t waiting() const
    {
        return m_waiting_for_tokens.size() + m_queue.size();
    }

    /** Returns the refusals since the process started, by reason. */
    const std::map<reason, std::uint64_t>& refusals() const
    {
        return m_refusals;
    }

    /**
     * Counts a refusal and answers the caller: not_run for a query,
     * outcome_unknown for a lookup, as a request with its id may have run
     * through another VM.
     */
    void refuse(caller_token token, bool is_lookup, error_detail error,
                outbox& out);

private:
    void enqueue(admitted_request request, outbox& out);

    const rights_check& m_rights;
    rate_borrower& m_rates;
    std::shared_ptr<const settings_index> m_settings;
    std::unordered_map<caller_token, admitted_request> m_waiting_for_tokens;
    fair_queue<admitted_request> m_queue;
    std::map<reason, std::uint64_t> m_refusals;
};

} // namespace cranberrywood

#endif
