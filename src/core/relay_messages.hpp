#ifndef CRANBERRYWOOD_CORE_RELAY_MESSAGES_HPP
#define CRANBERRYWOOD_CORE_RELAY_MESSAGES_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <memory>
#include <string>
#include <vector>

namespace cranberrywood {

struct outbound_request;

/** Names a peer's request to relay an exchange, at the VM that got it. */
using relay_token = strong_value<struct relay_token_tag, std::uint64_t>;

/**
 * One send to a service that a VM without links to backend servers asks a peer
 * to make. The peer chooses the server and never passes the request on to
 * another VM.
 */
struct relay_request
{
    service_id service;
    /** Servers that the call was sent to already. */
    std::vector<backend_server_id> tried;
    /** The call is sent to another server while a send is in flight. */
    bool extra = false;
    fingerprint print;
    /** Time left for the server to answer. */
    duration deadline{0};
    bool repeatable = false;
    /** Name of the caller's workspace; empty on open routes. */
    std::string workspace;
    std::shared_ptr<const outbound_request> outbound;
};

} // namespace cranberrywood

#endif
