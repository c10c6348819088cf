#ifndef CRANBERRYWOOD_SYSTEMS_REPEAT_GATE_HPP
#define CRANBERRYWOOD_SYSTEMS_REPEAT_GATE_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

namespace cranberrywood {

/** Limits how often a request may be sent again after a server died. */
class repeat_gate
{
public:
    virtual ~repeat_gate() = default;

    /** Returns whether a request may be sent to a second server at once. */
    virtual bool may_hedge(fingerprint print, time_point now) const = 0;

    /** Returns whether a request may be sent again after a failure. */
    virtual bool may_retry(fingerprint print, time_point now) const = 0;
};

} // namespace cranberrywood

#endif
