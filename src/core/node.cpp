#include "core/node.hpp"

#include "core/node_systems.hpp"

namespace cranberrywood {

node::node(node_identity identity, random_source& random)
    : m_systems(std::make_unique<node_systems>(std::move(identity), random))
{
}

node::~node() = default;

commands node::handle(const event& e, time_point now)
{
    m_systems->apply(e, now);
    return m_systems->finish(now);
}

commands node::tick(time_point now)
{
    m_systems->tick(now);
    return m_systems->finish(now);
}

node_status node::status(time_point now) const
{
    return m_systems->status(now);
}

} // namespace cranberrywood
