#ifndef CRANBERRYWOOD_CORE_COMMANDS_HPP
#define CRANBERRYWOOD_CORE_COMMANDS_HPP

#include "core/messages.hpp"
#include "settings/settings.hpp"

#include <memory>

/** Commands that a node returns for its driver to carry out. */
namespace cranberrywood {

/** Send a message to another VM; it may be lost. */
struct send_to_peer
{
    vm_id to;
    peer_envelope envelope;
};

/** Connect to a backend server, with at most this many connections. */
struct open_backend
{
    backend_server_id backend_server;
    std::uint32_t connections = 1;
};

/** Close all connections to a backend server. */
struct close_backend
{
    backend_server_id backend_server;
};

/** Send a request to a connected backend server. */
struct send_to_backend
{
    backend_server_id backend_server;
    backend_request request;
};

/** Send a cancellation to a backend server. */
struct cancel_at_backend
{
    backend_server_id backend_server;
    backend_cancel cancel;
};

/** Answer a waiting caller. */
struct answer_caller
{
    caller_token token;
    response answer;
};

/** Read the configuration; waits for a newer revision if newer_than is set. */
struct read_configuration
{
    revision_number newer_than;
};

/** Read the platform's VM list. */
struct read_vm_list
{
};

/** Apply a new settings revision; it holds the addresses of VMs and servers. */
struct settings_accepted
{
    std::shared_ptr<const settings_index> settings;
};

/** Write a numbered event to the log; docs/EVENTS.md lists the codes. */
struct log_event
{
    std::uint32_t code = 0;
    std::string text;
};

/** The graceful shutdown is complete; the process may exit. */
struct stop_process
{
};

using command =
    std::variant<send_to_peer, open_backend, close_backend, send_to_backend,
                 cancel_at_backend, answer_caller, read_configuration,
                 read_vm_list, settings_accepted, log_event, stop_process>;

/** Commands in the order in which they are to be carried out. */
using commands = std::vector<command>;

} // namespace cranberrywood

#endif
