#include "io/backend_links.hpp"

#include "io/log_sink.hpp"

#include <algorithm>
#include <string_view>
#include <unistd.h>

namespace cranberrywood {

namespace {

constexpr std::size_t read_chunk_bytes = 64UL * 1024;

} // namespace

backend_links::backend_links(caf::actor_config& config,
                             backend_links_parts parts)
    : caf::io::broker(config), m_parts(std::move(parts))
{
}

const char* backend_links::name() const
{
    return "backend_links";
}

caf::behavior backend_links::make_behavior()
{
    return {
        [this](const backend_batch& batch) { run(batch); },
        [this](const settings_accepted& accepted) { accept(accepted); },
        [this](const backend_connect_ended& ended) { connected(ended); },
        [this](const caf::io::new_data_msg& m) { received(m); },
        [this](const caf::io::connection_closed_msg& m) { closed(m.handle); },
        [this](stop_atom) { quit(); },
    };
}

void backend_links::run(const backend_batch& batch)
{
    for (const backend_command& c : batch.commands) {
        std::visit([this](const auto& one) { execute(one); }, c);
    }
    for (const connection& handle : std::exchange(m_to_flush, {})) {
        flush(handle);
    }
}

void backend_links::execute(const open_backend& c)
{
    link& l = m_links[c.backend_server];
    shut(l);
    l.open = true;
    const std::uint64_t attempt = ++l.attempt;
    const auto address = m_addresses.find(c.backend_server);
    if (address == m_addresses.end()) {
        lose(c.backend_server);
        return;
    }
    const caf::actor self(this);
    const backend_server_id server = c.backend_server;
    for (std::uint32_t i = 0; i < c.connections; ++i) {
        m_parts.connect.connect(
            address->second, [self, server, attempt](int socket) {
                caf::anon_send(self,
                               backend_connect_ended{server, attempt, socket});
            });
    }
}

void backend_links::execute(const close_backend& c)
{
    shut(m_links[c.backend_server]);
}

// A request for a link that is down needs no answer: the loss of the link is
// already on its way to the node.
void backend_links::execute(const send_to_backend& c)
{
    link& l = m_links[c.backend_server];
    line* to = least_loaded(l);
    if (to == nullptr) {
        return;
    }
    ++to->in_flight;
    l.sent_on[c.request.id] = to->handle;
    write_message(to->handle, c.request);
}

void backend_links::execute(const cancel_at_backend& c)
{
    link& l = m_links[c.backend_server];
    const auto sent = l.sent_on.find(c.cancel.id);
    if (sent != l.sent_on.end()) {
        write_message(sent->second, c.cancel);
    }
}

void backend_links::write_message(connection to, const backend_message& message)
{
    const std::string frame = make_frame(encode(message));
    write(to, frame.size(), frame.data());
    m_to_flush.push_back(to);
}

void backend_links::connected(const backend_connect_ended& ended)
{
    link& l = m_links[ended.target];
    if (!l.open || ended.attempt != l.attempt) {
        if (ended.socket >= 0) {
            ::close(ended.socket);
        }
        return;
    }
    if (ended.socket < 0) {
        lose(ended.target);
        return;
    }
    const connection handle = add_scribe(ended.socket);
    configure_read(handle, caf::io::receive_policy::at_most(read_chunk_bytes));
    l.lines.push_back({handle, false, 0});
    m_sources.emplace(
        handle, source{ended.target, frame_reader(max_backend_frame_bytes)});
}

void backend_links::received(const caf::io::new_data_msg& data)
{
    const auto found = m_sources.find(data.handle);
    if (found == m_sources.end()) {
        return;
    }
    found->second.frames.append(
        std::string_view(data.buf.data(), data.buf.size()));
    // A frame may lose the link and with it the source.
    for (auto at = found; at != m_sources.end();
         at = m_sources.find(data.handle)) {
        const auto next = at->second.frames.next();
        if (std::holds_alternative<frame_incomplete>(next)) {
            return;
        }
        if (const auto* error = std::get_if<wire_error>(&next)) {
            refuse_frame(data.handle, error->what);
            return;
        }
        deliver(data.handle, std::get<std::string>(next));
    }
}

void backend_links::deliver(connection from, const std::string& payload)
{
    auto decoded = decode_backend_message(payload);
    if (const auto* error = std::get_if<wire_error>(&decoded)) {
        refuse_frame(from, error->what);
        return;
    }
    const backend_server_id server = m_sources.at(from).server;
    auto& message = std::get<backend_message>(decoded);
    if (const auto* hello = std::get_if<backend_hello>(&message)) {
        take(from, server, *hello);
    } else if (auto* reply = std::get_if<backend_reply>(&message)) {
        take(from, server, std::move(*reply));
    } else {
        refuse_frame(from, "message of the wrong direction");
    }
}

void backend_links::take(connection from, backend_server_id server,
                         const backend_hello& hello)
{
    link& l = m_links[server];
    if (line* greeted = find(l, from)) {
        greeted->greeted = true;
    }
    l.greeted = true;
    m_parts.to_node(backend_connected{server, hello});
}

void backend_links::take(connection from, backend_server_id server,
                         backend_reply reply)
{
    link& l = m_links[server];
    if (l.sent_on.erase(reply.id) != 0) {
        if (line* used = find(l, from)) {
            --used->in_flight;
        }
    }
    m_parts.to_node(backend_replied{server, std::move(reply)});
}

void backend_links::refuse_frame(connection from, const std::string& why)
{
    const backend_server_id server = m_sources.at(from).server;
    m_parts.counts.backend_frames_refused.Increment();
    write_log(log_code::backend_frame_refused,
              "backend_server=" + std::to_string(server.value()) + " " + why);
    lose(server);
}

void backend_links::closed(connection handle)
{
    const auto found = m_sources.find(handle);
    if (found == m_sources.end()) {
        return; // The link was shut by this process.
    }
    lose(found->second.server);
}

void backend_links::lose(backend_server_id server)
{
    link& l = m_links[server];
    const bool was_connected = l.greeted;
    shut(l);
    m_parts.to_node(backend_lost{server, was_connected});
}

void backend_links::shut(link& l)
{
    for (const line& one : l.lines) {
        m_sources.erase(one.handle);
        close(one.handle);
    }
    l.lines.clear();
    l.sent_on.clear();
    l.open = false;
    l.greeted = false;
}

void backend_links::accept(const settings_accepted& accepted)
{
    for (const backend_server_settings& server :
         accepted.settings->all().backend_servers) {
        m_addresses[server.id] = {server.host, server.port};
    }
}

backend_links::line* backend_links::find(link& l, connection handle)
{
    const auto it =
        std::find_if(l.lines.begin(), l.lines.end(),
                     [&](const line& one) { return one.handle == handle; });
    return it == l.lines.end() ? nullptr : &*it;
}

backend_links::line* backend_links::least_loaded(link& l)
{
    line* best = nullptr;
    for (line& one : l.lines) {
        if (one.greeted &&
            (best == nullptr || one.in_flight < best->in_flight)) {
            best = &one;
        }
    }
    return best;
}

} // namespace cranberrywood
