#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_ADMISSION_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_ADMISSION_HPP

#include "core/outbox.hpp"
#include "systems/queries/fair_queue.hpp"
#include "systems/queries/request_check.hpp"
#include "systems/rates/rate_borrower.hpp"

#include <map>

namespace cranberrywood {

/**
 * Brings checked requests through the workspace's rate and the fair queue of
 * this VM. Nothing of a request is sent before it has passed here.
 */
class admission
{
public:
    /** All parts outlive this object. */
    admission(const rights_check& rights, rate_borrower& rates);

    /** Puts a settings revision in force. */
    void settings_changed(std::shared_ptr<const settings_index> settings);

    /** Takes a checked request. */
    void accept(admitted_request request, time_point now, outbox& out);

    /** Forgets the request of a caller; returns whether it waited here. */
    bool caller_gone(caller_token token);

    /** Drops what is late and moves requests whose tokens were granted. */
    void tick(time_point now, outbox& out);

    /**
     * Returns the next request to start; refuses those on the way that lost
     * their rights or their time while they waited.
     */
    std::optional<admitted_request> next(time_point now, outbox& out);

    /** Returns the number of requests that wait for tokens or a slot. */
    std::size_t waiting() const
    {
        return m_waiting_for_tokens.size() + m_queue.size();
    }

    /** Refusals since the start, by reason. */
    const std::map<reason, std::uint64_t>& refusals() const
    {
        return m_refusals;
    }

    /**
     * Counts a refusal and tells the caller: not_run for a query; for a
     * lookup outcome_unknown, as its id may have run through another VM.
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
