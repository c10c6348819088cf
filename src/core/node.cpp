#include "core/node.hpp"

#include "core/node_systems.hpp"

namespace cranberrywood {

node::node(node_identity identity, random_source& random)
    : m_parts(std::make_unique<node_systems>(std::move(identity), random))
{
}

node::~node() = default;

commands node::handle(const event& e, time_point now)
{
    m_parts->apply(e, now);
    return m_parts->finish(now);
}

commands node::tick(time_point now)
{
    m_parts->tick(now);
    return m_parts->finish(now);
}

node_status node::status(time_point now) const
{
    return m_parts->status(now);
}

} // namespace cranberrywood
