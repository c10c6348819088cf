#ifndef CRANBERRYWOOD_IO_ACTOR_MESSAGES_HPP
#define CRANBERRYWOOD_IO_ACTOR_MESSAGES_HPP

#include "core/commands.hpp"
#include "core/events.hpp"
#include "io/caf_headers.hpp"

/** Messages between the actors of one process. */
namespace cranberrywood {

/** Something happened; for the node actor. */
struct node_event
{
    event what;
};

/** Messages to other VMs, of one step of the node; for the peer links. */
struct peer_batch
{
    std::vector<send_to_peer> messages;
};

using backend_command = std::variant<open_backend, close_backend,
                                     send_to_backend, cancel_at_backend>;

/** Commands about backend servers, of one step; for the backend links. */
struct backend_batch
{
    std::vector<backend_command> commands;
};

/** An attempt to connect has ended; the socket is negative on failure. */
template <class Id>
struct connect_ended
{
    Id target;
    std::uint64_t attempt = 0;
    int socket = -1;
};
using peer_connect_ended = connect_ended<vm_id>;
using backend_connect_ended = connect_ended<backend_server_id>;

/** Time to try to connect to a VM again. */
struct peer_retry
{
    vm_id target;
};

using step_atom = caf::atom_constant<caf::atom("step")>;
using tick_atom = caf::atom_constant<caf::atom("tick")>;
using stop_atom = caf::atom_constant<caf::atom("stop")>;

} // namespace cranberrywood

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cranberrywood::node_event)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cranberrywood::peer_batch)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cranberrywood::backend_batch)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cranberrywood::settings_accepted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cranberrywood::peer_connect_ended)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cranberrywood::backend_connect_ended)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cranberrywood::peer_retry)

#endif
