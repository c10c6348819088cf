#ifndef CRANBERRYWOOD_SYSTEMS_OPEN_REPEAT_GATE_HPP
#define CRANBERRYWOOD_SYSTEMS_OPEN_REPEAT_GATE_HPP

#include "systems/repeat_gate.hpp"

namespace cranberrywood {

/** Repeat gate that limits nothing. */
class open_repeat_gate : public repeat_gate
{
public:
    bool may_hedge(fingerprint, time_point) const override
    {
        return true;
    }
    bool may_retry(fingerprint, time_point) const override
    {
        return true;
    }
};

} // namespace cranberrywood

#endif
