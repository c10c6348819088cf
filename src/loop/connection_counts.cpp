#include "loop/connection_counts.hpp"

namespace cranberrywood {

const char* name_of(close_reason reason)
{
    switch (reason) {
    case close_reason::idle:
        return "idle";
    case close_reason::surplus:
        return "surplus";
    case close_reason::not_reusable:
        return "not_reusable";
    case close_reason::ended_by_server:
        return "ended_by_server";
    case close_reason::failed:
        return "failed";
    case close_reason::cancelled:
        return "cancelled";
    case close_reason::moved:
        return "moved";
    }
    return "unknown";
}

} // namespace cranberrywood
