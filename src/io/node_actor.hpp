#ifndef CRANBERRYWOOD_IO_NODE_ACTOR_HPP
#define CRANBERRYWOOD_IO_NODE_ACTOR_HPP

#include "core/node.hpp"
#include "io/actor_messages.hpp"
#include "io/inbox_gauge.hpp"
#include "io/shared_state.hpp"

#include <functional>

namespace cranberrywood {

/** Where a node's commands go that are not for an actor. Must not block. */
struct command_targets
{
    std::function<void(answer_caller)> answer;
    std::function<void(const read_configuration&)> read_configuration_now;
    std::function<void(const read_vm_list&)> read_vm_list_now;
    /** The node has left and the process may exit. */
    std::function<void()> stop;
};

/** What a node actor is built from; the references must outlive it. */
struct node_actor_parts
{
    node& core;
    const clock& time;
    shared_state& state;
    inbox_gauge& inbox;
    command_targets targets;
    caf::actor peer_links;
    caf::actor backend_links;
};

/**
 * Owns the stepping of the node: takes events, runs the node over all that
 * have arrived, ticks it, and hands its commands on. Nothing in it blocks.
 */
class node_actor : public caf::event_based_actor
{
public:
    node_actor(caf::actor_config& config, node_actor_parts parts);

    caf::behavior make_behavior() override;
    const char* name() const override;

private:
    void take(node_event& e);
    void step();
    void tick();
    void run(commands issued);
    void flush();
    void publish_status(time_point now);

    void execute(send_to_peer& c);
    void execute(open_backend& c);
    void execute(close_backend& c);
    void execute(send_to_backend& c);
    void execute(cancel_at_backend& c);
    void execute(answer_caller& c);
    void execute(read_configuration& c);
    void execute(read_vm_list& c);
    void execute(settings_accepted& c);
    void execute(log_event& c);
    void execute(stop_process& c);

    node_actor_parts m_parts;
    std::vector<event> m_events;
    peer_batch m_to_peers;
    backend_batch m_to_backends;
    time_point m_status_due;
};

} // namespace cranberrywood

#endif
