#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_RESEND_POLICY_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_RESEND_POLICY_HPP

#include "core/outbox.hpp"

namespace cranberrywood {

/**
 * Limits hedges and retries of a request after a server crashed while running
 * it.
 */
class resend_policy
{
public:
    virtual ~resend_policy() = default;

    /** Returns whether a request may be hedged. */
    virtual bool may_hedge(fingerprint print, time_point now) const = 0;

    /** Returns whether a request may be retried after a number of sends. */
    virtual bool may_retry(fingerprint print, std::size_t sends,
                           time_point now) const = 0;

    /** Records that a request completed on every shard. */
    virtual void record_full_completion(fingerprint print, outbox& out) = 0;
};

} // namespace cranberrywood

#endif
