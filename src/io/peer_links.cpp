#include "io/peer_links.hpp"

#include "io/log_sink.hpp"
#include "wire/peer_codec.hpp"

#include <algorithm>
#include <string_view>
#include <unistd.h>

namespace cranberrywood {

namespace {

/** Bytes that may wait for one link, connected or not. */
constexpr std::size_t max_waiting_bytes = 8UL * 1024 * 1024;
constexpr std::size_t read_chunk_bytes = 64UL * 1024;
constexpr auto first_back_off = std::chrono::milliseconds(50);
constexpr auto longest_back_off = std::chrono::milliseconds(1000);
constexpr std::uint32_t max_doublings = 8;

} // namespace

peer_links::peer_links(caf::actor_config& config, peer_links_parts parts)
    : caf::io::broker(config), m_parts(std::move(parts)), m_random(m_parts.seed)
{
    for (const auto& [name, address] : m_parts.settings.seeds) {
        set_address(id_of<vm_id>(name), address);
    }
}

const char* peer_links::name() const
{
    return "peer_links";
}

caf::behavior peer_links::make_behavior()
{
    listen();
    return {
        [this](const peer_batch& batch) { send_batch(batch); },
        [this](const settings_accepted& accepted) { accept(accepted); },
        [this](const peer_connect_ended& ended) { connected(ended); },
        [this](const peer_retry& due) { retry(due.target); },
        [this](const caf::io::new_connection_msg& m) {
            configure_read(m.handle,
                           caf::io::receive_policy::at_most(read_chunk_bytes));
            m_incoming.emplace(m.handle, frame_reader(max_peer_frame_bytes));
        },
        [this](const caf::io::new_data_msg& m) { received(m); },
        [this](const caf::io::data_transferred_msg& m) { written(m); },
        [this](const caf::io::connection_closed_msg& m) { closed(m.handle); },
        [](const caf::io::acceptor_closed_msg&) {},
        [this](stop_atom) { quit(); },
    };
}

void peer_links::listen()
{
    const endpoint& here = m_parts.settings.peer;
    const auto door = add_tcp_doorman(here.port, here.host.c_str(), true);
    if (!door) {
        write_log(log_code::port_not_free, to_string(here));
    }
}

void peer_links::send_batch(const peer_batch& batch)
{
    for (const send_to_peer& message : batch.messages) {
        send_one(message);
    }
    for (const connection& handle : std::exchange(m_to_flush, {})) {
        flush(handle);
    }
}

void peer_links::send_one(const send_to_peer& message)
{
    const auto found = m_links.find(message.to);
    if (found == m_links.end()) {
        m_parts.counts.peer_messages_dropped.Increment();
        return;
    }
    link& to = found->second;
    if (to.state == link_state::idle) {
        open(message.to, to);
    }
    const bool full = to.waiting.size() + to.unsent > max_waiting_bytes;
    if (full || to.state == link_state::backing_off) {
        m_parts.counts.peer_messages_dropped.Increment();
        return;
    }
    const std::string payload = encode(message.envelope);
    if (payload.size() > max_peer_frame_bytes) {
        m_parts.counts.peer_messages_dropped.Increment();
        return;
    }
    write_frame(to, make_frame(payload));
}

void peer_links::write_frame(link& to, const std::string& frame)
{
    m_parts.counts.peer_sent_bytes.Increment(static_cast<double>(frame.size()));
    if (to.state != link_state::up) {
        to.waiting += frame;
        return;
    }
    write(to.handle, frame.size(), frame.data());
    to.unsent += frame.size();
    m_to_flush.push_back(to.handle);
}

void peer_links::open(vm_id vm, link& to)
{
    to.state = link_state::connecting;
    const std::uint64_t attempt = ++to.attempt;
    const caf::actor self(this);
    m_parts.connect.connect(to.address, [self, vm, attempt](int socket) {
        caf::anon_send(self, peer_connect_ended{vm, attempt, socket});
    });
}

void peer_links::connected(const peer_connect_ended& ended)
{
    link& to = m_links[ended.target];
    if (ended.attempt != to.attempt || to.state != link_state::connecting) {
        if (ended.socket >= 0) {
            ::close(ended.socket);
        }
        return;
    }
    if (ended.socket < 0) {
        back_off(ended.target, to);
        return;
    }
    to.handle = add_scribe(ended.socket);
    configure_read(to.handle,
                   caf::io::receive_policy::at_most(read_chunk_bytes));
    ack_writes(to.handle, true);
    to.state = link_state::up;
    to.failures = 0;
    m_outgoing[to.handle] = ended.target;
    const std::string waiting = std::exchange(to.waiting, {});
    write(to.handle, waiting.size(), waiting.data());
    to.unsent = waiting.size();
    flush(to.handle);
}

// Messages that waited are old by the next attempt, so they are dropped.
void peer_links::back_off(vm_id vm, link& to)
{
    to.state = link_state::backing_off;
    to.waiting.clear();
    to.unsent = 0;
    const std::uint32_t doublings = std::min(to.failures, max_doublings);
    ++to.failures;
    const auto longest =
        std::min(longest_back_off, first_back_off * (1U << doublings));
    const auto half = static_cast<std::uint64_t>(longest.count() / 2);
    const auto wait =
        longest / 2 + std::chrono::milliseconds(m_random.below(half + 1));
    delayed_send(this, wait, peer_retry{vm});
}

void peer_links::retry(vm_id vm)
{
    link& to = m_links[vm];
    if (to.state == link_state::backing_off) {
        open(vm, to);
    }
}

void peer_links::received(const caf::io::new_data_msg& data)
{
    const auto found = m_incoming.find(data.handle);
    if (found == m_incoming.end()) {
        return; // A peer sends nothing on our outgoing connection.
    }
    frame_reader& frames = found->second;
    frames.append(std::string_view(data.buf.data(), data.buf.size()));
    auto next = frames.next();
    while (const auto* payload = std::get_if<std::string>(&next)) {
        deliver(*payload);
        next = frames.next();
    }
    if (const auto* error = std::get_if<wire_error>(&next)) {
        m_parts.counts.peer_frames_refused.Increment();
        write_log(log_code::peer_frame_refused, error->what);
        drop_incoming(data.handle);
    }
}

void peer_links::deliver(const std::string& payload)
{
    auto decoded = decode_peer_envelope(payload);
    auto* envelope = std::get_if<peer_envelope>(&decoded);
    if (envelope == nullptr) {
        m_parts.counts.peer_frames_refused.Increment();
        write_log(log_code::peer_frame_refused,
                  std::get<wire_error>(decoded).what);
        return;
    }
    if (!m_parts.inbox.try_add()) {
        m_parts.counts.peer_messages_dropped.Increment();
        return;
    }
    m_parts.to_node(peer_received{std::move(*envelope)});
}

void peer_links::written(const caf::io::data_transferred_msg& progress)
{
    const auto found = m_outgoing.find(progress.handle);
    if (found != m_outgoing.end()) {
        link& to = m_links[found->second];
        to.unsent -= std::min<std::size_t>(to.unsent, progress.written);
    }
}

void peer_links::closed(connection handle)
{
    m_incoming.erase(handle);
    const auto found = m_outgoing.find(handle);
    if (found == m_outgoing.end()) {
        return;
    }
    const vm_id vm = found->second;
    m_outgoing.erase(found);
    back_off(vm, m_links[vm]);
}

void peer_links::drop_incoming(connection handle)
{
    m_incoming.erase(handle);
    close(handle);
}

void peer_links::accept(const settings_accepted& accepted)
{
    for (const vm_settings& vm : accepted.settings->all().vms) {
        set_address(vm.id, {vm.host, vm.peer_port});
    }
}

// A VM that has moved is reached at its new address from the next connection
// on; the connection to the old address breaks by itself.
void peer_links::set_address(vm_id vm, const endpoint& address)
{
    m_links[vm].address = address;
}

} // namespace cranberrywood
