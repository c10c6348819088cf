#ifndef CRANBERRYWOOD_CORE_EVENTS_HPP
#define CRANBERRYWOOD_CORE_EVENTS_HPP

#include "core/messages.hpp"
#include "settings/published_value.hpp"

#include <optional>

/** Events that a node handles. */
namespace cranberrywood {

/** A caller sent a request. The key is not sent beyond this node. */
struct caller_request
{
    caller_token token;
    std::string service;
    /** Key as presented; empty when the caller sent none. */
    std::string key;
    /** Caller's id of a non-repeatable request; empty for a query. */
    std::string caller_request_id;
    /** Shard key of a non-repeatable request, in the service's key space. */
    std::uint64_t lookup_key = 0;
    duration deadline{0};
    std::uint32_t hit_limit = 0;
    std::string body;

    /** Returns whether the request must run at most once. */
    bool is_lookup() const
    {
        return !caller_request_id.empty();
    }
};

/** A caller closed its connection before it was answered. */
struct caller_gone
{
    caller_token token;
};

/** A message from another VM arrived. */
struct peer_received
{
    peer_envelope envelope;
};

/** A backend server accepted a connection and sent its hello message. */
struct backend_connected
{
    backend_server_id backend_server;
    backend_hello hello;
};

/** A reply from a backend server arrived. */
struct backend_replied
{
    backend_server_id backend_server;
    backend_reply reply;
};

/** The connection to a backend server was lost or could not be set up. */
struct backend_lost
{
    backend_server_id backend_server;
    /** The connection was established, so requests sent on it have unknown
     * outcomes. */
    bool was_connected = false;
};

/** The configuration service answered a read or a watch. */
struct configuration_read
{
    published_value value;
};

/** The configuration service was unreachable or gave an invalid answer. */
struct configuration_unavailable
{
    std::string why;
};

/** One VM in the platform's list. */
struct listed_vm
{
    vm_id vm;
    bool leaving = false;
};

/** The platform's VM list was read. */
struct vm_list_read
{
    list_version version;
    std::vector<listed_vm> vms;
};

/** The process was asked to shut down gracefully. */
struct shutdown_requested
{
};

using event =
    std::variant<caller_request, caller_gone, peer_received, backend_connected,
                 backend_replied, backend_lost, configuration_read,
                 configuration_unavailable, vm_list_read, shutdown_requested>;

} // namespace cranberrywood

#endif
