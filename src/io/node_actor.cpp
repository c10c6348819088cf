#include "io/node_actor.hpp"

#include "io/log_sink.hpp"

namespace cranberrywood {

namespace {

constexpr auto tick_interval = std::chrono::milliseconds(10);
/** Interval at which the other threads get a new status. */
constexpr duration status_interval = std::chrono::milliseconds(100);

} // namespace

node_actor::node_actor(caf::actor_config& config, node_actor_parts parts)
    : caf::event_based_actor(config), m_parts(std::move(parts))
{
}

const char* node_actor::name() const
{
    return "node_actor";
}

caf::behavior node_actor::make_behavior()
{
    send(this, tick_atom::value);
    return {
        [this](node_event& e) { take(e); },
        [this](step_atom) { step(); },
        [this](tick_atom) {
            delayed_send(this, tick_interval, tick_atom::value);
            tick();
        },
    };
}

// The step is a message behind the events that wait already, so that one step
// takes them all and its messages to a VM leave together.
void node_actor::take(node_event& e)
{
    if (m_events.empty()) {
        send(this, step_atom::value);
    }
    m_events.push_back(std::move(e.what));
}

void node_actor::step()
{
    m_parts.inbox.take(m_events.size());
    for (const event& e : m_events) {
        run(m_parts.core.handle(e, m_parts.time.now()));
    }
    const bool leaving =
        std::any_of(m_events.begin(), m_events.end(), [](const event& e) {
            return std::holds_alternative<shutdown_requested>(e);
        });
    m_events.clear();
    flush();
    if (leaving) {
        publish_status(m_parts.time.now());
    }
}

void node_actor::tick()
{
    const time_point now = m_parts.time.now();
    run(m_parts.core.tick(now));
    flush();
    if (now >= m_status_due) {
        publish_status(now);
    }
}

void node_actor::run(commands issued)
{
    for (command& c : issued) {
        std::visit([this](auto& one) { execute(one); }, c);
    }
}

void node_actor::flush()
{
    if (!m_to_peers.messages.empty()) {
        send(m_parts.peer_links, std::exchange(m_to_peers, {}));
    }
    if (!m_to_backends.commands.empty()) {
        send(m_parts.backend_links, std::exchange(m_to_backends, {}));
    }
}

void node_actor::publish_status(time_point now)
{
    m_parts.state.publish(std::make_shared<const status_reading>(
        status_reading{m_parts.core.status(now), now}));
    m_status_due = now + status_interval;
}

void node_actor::execute(send_to_peer& c)
{
    m_to_peers.messages.push_back(std::move(c));
}

void node_actor::execute(open_backend& c)
{
    m_to_backends.commands.emplace_back(c);
}

void node_actor::execute(close_backend& c)
{
    m_to_backends.commands.emplace_back(c);
}

void node_actor::execute(send_to_backend& c)
{
    m_to_backends.commands.emplace_back(std::move(c));
}

void node_actor::execute(cancel_at_backend& c)
{
    m_to_backends.commands.emplace_back(c);
}

void node_actor::execute(answer_caller& c)
{
    m_parts.targets.answer(std::move(c));
}

void node_actor::execute(read_configuration& c)
{
    m_parts.targets.read_configuration_now(c);
}

void node_actor::execute(read_vm_list& c)
{
    m_parts.targets.read_vm_list_now(c);
}

void node_actor::execute(settings_accepted& c)
{
    m_parts.state.accept(c.settings);
    send(m_parts.peer_links, c);
    send(m_parts.backend_links, c);
}

void node_actor::execute(log_event& c)
{
    write_log(c);
}

void node_actor::execute(stop_process& /*c*/)
{
    m_parts.targets.stop();
}

} // namespace cranberrywood
