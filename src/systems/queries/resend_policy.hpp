#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_RESEND_POLICY_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_RESEND_POLICY_HPP

#include "core/outbox.hpp"

namespace cranberrywood {

/** Limits how often a request may be sent again after a server died. */
class resend_policy
{
public:
    virtual ~resend_policy() = default;

    /** Returns whether a request may be sent to a second server at once. */
    virtual bool may_hedge(fingerprint print, time_point now) const = 0;

    /** Returns whether to send again after a number of sends failed. */
    virtual bool may_retry(fingerprint print, std::size_t sends,
                           time_point now) const = 0;

    /** A request was completed on every shard. */
    virtual void record_full_completion(fingerprint print, outbox& out) = 0;
};

} // namespace cranberrywood

#endif
