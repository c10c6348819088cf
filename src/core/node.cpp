#include "core/node.hpp"

#include "core/outbox.hpp"

namespace cranberrywood {

class node::parts
{
public:
    parts(node_identity identity, random_source& random)
        : m_identity(std::move(identity)), m_random(random)
    {
    }

    void apply(const caller_request& request)
    {
        const error_detail error{
            step::admission, reason::not_ready, {}, {}, {}};
        m_out.issue(answer_caller{request.token,
                                  to_response(sent_nothing().refuse(error))});
    }
    template <class Event>
    void apply(const Event&)
    {
    }

    node_identity m_identity;
    random_source& m_random;
    outbox m_out;
};

node::node(node_identity identity, random_source& random)
    : m_parts(std::make_unique<parts>(std::move(identity), random))
{
}

node::~node() = default;

commands node::handle(const event& e, time_point)
{
    std::visit([this](const auto& event) { m_parts->apply(event); }, e);
    return m_parts->m_out.take_commands();
}

commands node::tick(time_point)
{
    return m_parts->m_out.take_commands();
}

node_status node::status(time_point) const
{
    node_status status;
    status.vm = m_parts->m_identity.vm;
    status.process = m_parts->m_identity.process;
    return status;
}

} // namespace cranberrywood
