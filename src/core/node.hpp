#ifndef CRANBERRYWOOD_CORE_NODE_HPP
#define CRANBERRYWOOD_CORE_NODE_HPP

#include "core/commands.hpp"
#include "core/events.hpp"
#include "core/node_identity.hpp"
#include "core/node_status.hpp"
#include "core/random_source.hpp"

#include <memory>

namespace cranberrywood {

class node_systems;

/**
 * Deterministic core of one VM. Takes typed events and returns typed commands;
 * does no I/O, reads no clock and starts no thread. Equal events, times and
 * seeds give equal commands. docs/EMBEDDING.md shows how to drive it.
 */
class node
{
public:
    /** The random source must outlive the node. */
    node(node_identity identity, random_source& random);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /** Applies an event. Times must never go back. */
    commands handle(const event& e, time_point now);

    /** Runs due timers; must be called at least every ten milliseconds. */
    commands tick(time_point now);

    /** Returns the state for operators. */
    node_status status(time_point now) const;

private:
    std::unique_ptr<node_systems> m_systems;
};

} // namespace cranberrywood

#endif
