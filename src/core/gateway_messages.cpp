#include "core/gateway_messages.hpp"

namespace cranberrywood {

const char* name_of(refusal_reason why)
{
    switch (why) {
    case refusal_reason::not_ready:
        return "not_ready";
    case refusal_reason::route_unknown:
        return "route_unknown";
    case refusal_reason::key_unknown:
        return "key_unknown";
    case refusal_reason::over_rate:
        return "over_rate";
    case refusal_reason::overloaded:
        return "overloaded";
    case refusal_reason::no_server:
        return "no_server";
    case refusal_reason::crashes_servers:
        return "crashes_servers";
    case refusal_reason::vm_stops:
        return "vm_stops";
    }
    return "unknown";
}

const char* name_of(failure_reason why)
{
    switch (why) {
    case failure_reason::timed_out:
        return "timed_out";
    case failure_reason::backend_failed:
        return "backend_failed";
    case failure_reason::too_few_parts:
        return "too_few_parts";
    }
    return "unknown";
}

bool nothing_written(exchange_fault fault)
{
    return fault == exchange_fault::not_connected ||
           fault == exchange_fault::connection_refused ||
           fault == exchange_fault::declined;
}

const char* name_of(exchange_fault fault)
{
    switch (fault) {
    case exchange_fault::not_connected:
        return "not_connected";
    case exchange_fault::connection_refused:
        return "connection_refused";
    case exchange_fault::kept_connection_lost:
        return "kept_connection_lost";
    case exchange_fault::connection_lost:
        return "connection_lost";
    case exchange_fault::invalid_answer:
        return "invalid_answer";
    case exchange_fault::declined:
        return "declined";
    case exchange_fault::over_connection_limit:
        return "over_connection_limit";
    }
    return "unknown";
}

} // namespace cranberrywood
