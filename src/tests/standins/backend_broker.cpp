#include "tests/standins/backend_broker.hpp"

#include <iostream>

namespace cranberrywood::standins {

namespace {

constexpr std::size_t read_chunk_bytes = 64UL * 1024;
constexpr auto publish_interval = std::chrono::milliseconds(100);

} // namespace

backend_broker::backend_broker(caf::actor_config& config,
                               std::shared_ptr<const settings_index> fleet,
                               standin_settings settings,
                               std::shared_ptr<counter_board> board)
    : caf::io::broker(config), m_fleet(std::move(fleet)),
      m_settings(std::move(settings)), m_board(std::move(board))
{
    for (const auto& server : m_fleet->all().backend_servers) {
        m_servers.emplace_back(server, *m_fleet->find(server.service),
                               *m_fleet->find(server.shard), m_settings.work,
                               m_settings.seed);
    }
    m_due.resize(m_servers.size());
}

caf::behavior backend_broker::make_behavior()
{
    listen();
    send(this, publish_atom::value);
    return {
        [this](const caf::io::new_connection_msg& m) { accept(m); },
        [this](const caf::io::new_data_msg& m) { received(m); },
        [this](const caf::io::connection_closed_msg& m) { closed(m.handle); },
        [](const caf::io::acceptor_closed_msg&) {},
        [this](const greeting_due& due) { greet(due.to); },
        [this](const work_due& due) { finish(due.server); },
        [this](const restart_due& due) { restart(due.server); },
        [this](const order_for_server& order) { obey(order); },
        [this](publish_atom) { publish(); },
    };
}

void backend_broker::listen()
{
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        const auto& self = m_servers[i].self();
        const auto door = add_tcp_doorman(self.port, self.host.c_str(), true);
        if (!door) {
            std::cerr << self.name << ": port " << self.port
                      << " is not free\n";
            continue;
        }
        m_doors[door->first] = i;
    }
}

void backend_broker::accept(const caf::io::new_connection_msg& m)
{
    const std::size_t index = m_doors.at(m.source);
    standin_server& server = m_servers[index];
    if (!server.connect(m.handle.id())) {
        close(m.handle);
        return;
    }
    m_sources.emplace(m.handle,
                      source{index, frame_reader(max_backend_frame_bytes)});
    configure_read(m.handle,
                   caf::io::receive_policy::at_most(read_chunk_bytes));
    const time_point now = m_clock.now();
    delayed_send(this, server.greeting_time(now) - now, greeting_due{m.handle});
}

void backend_broker::greet(connection to)
{
    const auto found = m_sources.find(to);
    if (found != m_sources.end()) {
        write_message(to, m_servers[found->second.server].hello());
    }
}

void backend_broker::received(const caf::io::new_data_msg& m)
{
    const auto found = m_sources.find(m.handle);
    if (found == m_sources.end()) {
        return;
    }
    found->second.frames.append(std::string_view(m.buf.data(), m.buf.size()));
    // A request may kill the server and with it the connection.
    for (auto at = found; at != m_sources.end();
         at = m_sources.find(m.handle)) {
        const auto next = at->second.frames.next();
        const auto* payload = std::get_if<std::string>(&next);
        if (payload == nullptr) {
            return;
        }
        const auto decoded = decode_backend_message(*payload);
        if (const auto* message = std::get_if<backend_message>(&decoded)) {
            handle(m.handle, at->second.server, *message);
        }
    }
}

void backend_broker::handle(connection from, std::size_t server,
                            const backend_message& message)
{
    standin_server& target = m_servers[server];
    std::optional<standin_server::reply> reply;
    if (const auto* request = std::get_if<backend_request>(&message)) {
        reply = target.take(from.id(), *request, m_clock.now());
    } else if (const auto* cancel = std::get_if<backend_cancel>(&message)) {
        reply = target.cancel(*cancel);
    }
    if (reply) {
        send_reply(*reply);
    }
    close_if_dead(server);
    schedule(server);
}

void backend_broker::send_reply(const standin_server::reply& r)
{
    const auto to = connection::from_int(r.to);
    if (m_sources.count(to) != 0) {
        write_message(to, r.body);
    }
}

void backend_broker::write_message(connection to,
                                   const backend_message& message)
{
    const std::string frame = make_frame(encode(message));
    write(to, frame.size(), frame.data());
    flush(to);
}

void backend_broker::finish(std::size_t server)
{
    m_due[server].reset();
    for (const auto& reply : m_servers[server].finish(m_clock.now())) {
        send_reply(reply);
    }
    close_if_dead(server);
    schedule(server);
}

void backend_broker::schedule(std::size_t server)
{
    const auto next = m_servers[server].next_end();
    std::optional<time_point>& due = m_due[server];
    if (next && (!due || *next < *due)) {
        due = next;
        const duration wait = std::max(*next - m_clock.now(), duration::zero());
        delayed_send(this, wait, work_due{server});
    }
}

void backend_broker::close_if_dead(std::size_t server)
{
    if (m_servers[server].up()) {
        return;
    }
    std::vector<connection> lost;
    for (const auto& [handle, from] : m_sources) {
        if (from.server == server) {
            lost.push_back(handle);
        }
    }
    for (const connection& handle : lost) {
        m_sources.erase(handle);
        close(handle);
    }
    delayed_send(this, m_settings.work.restart, restart_due{server});
}

void backend_broker::restart(std::size_t server)
{
    if (!m_servers[server].up()) {
        m_servers[server].restart();
    }
}

void backend_broker::closed(connection handle)
{
    const auto found = m_sources.find(handle);
    if (found != m_sources.end()) {
        m_servers[found->second.server].disconnect(handle.id());
        m_sources.erase(found);
    }
}

void backend_broker::obey(const order_for_server& order)
{
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        standin_server& server = m_servers[i];
        if (!order.server.empty() && server.self().name != order.server) {
            continue;
        }
        switch (order.what) {
        case server_order::drain:
            server.drain(true);
            break;
        case server_order::undrain:
            server.drain(false);
            break;
        case server_order::kill:
            server.die();
            close_if_dead(i);
            break;
        case server_order::hold_versions:
            server.hold_versions(order.oldest, order.newest);
            break;
        }
    }
}

void backend_broker::publish()
{
    counter_board::by_body runs;
    for (const standin_server& server : m_servers) {
        m_board->publish(server.self().name, server.counts());
        for (const auto& [body, count] : server.runs_by_body()) {
            runs[body] += count;
        }
    }
    m_board->publish_runs(std::move(runs));
    delayed_send(this, publish_interval, publish_atom::value);
}

} // namespace cranberrywood::standins
