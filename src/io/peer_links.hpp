#ifndef CRANBERRYWOOD_IO_PEER_LINKS_HPP
#define CRANBERRYWOOD_IO_PEER_LINKS_HPP

#include "core/random_source.hpp"
#include "io/actor_messages.hpp"
#include "io/connector.hpp"
#include "io/inbox_gauge.hpp"
#include "io/metrics.hpp"
#include "io/process_settings.hpp"
#include "wire/frame_reader.hpp"

#include <functional>
#include <unordered_map>

namespace cranberrywood {

/** What the peer links are built from; the references must outlive them. */
struct peer_links_parts
{
    const process_settings& settings;
    connector& connect;
    inbox_gauge& inbox;
    metrics& counts;
    /** Hands an event to the node; must not block. */
    std::function<void(event)> to_node;
    std::uint64_t seed = 0;
};

/**
 * Links to the other VMs: one connection for each direction, set up at the
 * first message. Messages that find no room are dropped and counted; the core
 * takes every peer message as one that may be lost.
 */
class peer_links : public caf::io::broker
{
public:
    peer_links(caf::actor_config& config, peer_links_parts parts);

    caf::behavior make_behavior() override;
    const char* name() const override;

private:
    using connection = caf::io::connection_handle;
    enum class link_state : std::uint8_t
    {
        idle,
        connecting,
        backing_off,
        up,
    };

    /** The outgoing link to one VM. */
    struct link
    {
        endpoint address;
        link_state state = link_state::idle;
        connection handle;
        std::uint64_t attempt = 0;
        std::uint32_t failures = 0;
        /** Frames that wait for the connection. */
        std::string waiting;
        /** Bytes given to the connection and not yet written. */
        std::size_t unsent = 0;
    };

    void listen();
    void send_batch(const peer_batch& batch);
    void send_one(const send_to_peer& message);
    void write_frame(link& to, const std::string& frame);
    void open(vm_id vm, link& to);
    void connected(const peer_connect_ended& ended);
    void retry(vm_id vm);
    void back_off(vm_id vm, link& to);
    void received(const caf::io::new_data_msg& data);
    void deliver(const std::string& payload);
    void written(const caf::io::data_transferred_msg& progress);
    void closed(connection handle);
    void drop_incoming(connection handle);
    void accept(const settings_accepted& accepted);
    void set_address(vm_id vm, const endpoint& address);

    peer_links_parts m_parts;
    seeded_random m_random;
    std::unordered_map<vm_id, link> m_links;
    std::unordered_map<connection, vm_id> m_outgoing;
    std::unordered_map<connection, frame_reader> m_incoming;
    std::vector<connection> m_to_flush;
};

} // namespace cranberrywood

#endif
