#ifndef CRANBERRYWOOD_CORE_EVENTS_HPP
#define CRANBERRYWOOD_CORE_EVENTS_HPP

#include "core/messages.hpp"
#include "settings/published_value.hpp"

#include <optional>

/** Everything that can happen to a node. */
namespace cranberrywood {

/** A caller sent a request. The key goes no further than the node. */
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

/** A backend server accepted a connection and introduced itself. */
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

/** The link to a backend server was lost, or could not be set up. */
struct backend_lost
{
    backend_server_id backend_server;
    /** The link had been up; requests sent on it have unknown outcomes. */
    bool was_connected = false;
};

/** The configuration service answered a read or a watch. */
struct configuration_read
{
    published_value value;
};

/** The configuration service could not be reached or answered nonsense. */
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
