#ifndef CRANBERRYWOOD_IO_BACKEND_LINKS_HPP
#define CRANBERRYWOOD_IO_BACKEND_LINKS_HPP

#include "io/actor_messages.hpp"
#include "io/connector.hpp"
#include "io/metrics.hpp"
#include "units/endpoint.hpp"
#include "wire/backend_codec.hpp"
#include "wire/frame_reader.hpp"

#include <functional>
#include <unordered_map>
#include <vector>

namespace cranberrywood {

/** What the backend links are built from; references must outlive them. */
struct backend_links_parts
{
    connector& connect;
    metrics& counts;
    /** Hands an event to the node; must not block. */
    std::function<void(event)> to_node;
};

/**
 * Links to the backend servers that this VM owns. A link is up once one of
 * its connections has greeted; the loss of any connection loses the link, as
 * the outcome of its requests is unknown. The core decides when to reopen.
 */
class backend_links : public caf::io::broker
{
public:
    backend_links(caf::actor_config& config, backend_links_parts parts);

    caf::behavior make_behavior() override;
    const char* name() const override;

private:
    using connection = caf::io::connection_handle;

    /** One connection of a link. */
    struct line
    {
        connection handle;
        bool greeted = false;
        std::uint32_t in_flight = 0;
    };

    /** The link to one backend server; it is open while attempt is set. */
    struct link
    {
        bool open = false;
        bool greeted = false;
        /** Tells the sockets of this opening from those of earlier ones. */
        std::uint64_t attempt = 0;
        std::vector<line> lines;
        std::unordered_map<sub_request_id, connection> sent_on;
    };

    /** Where a connection belongs, and its bytes not yet read. */
    struct source
    {
        backend_server_id server;
        frame_reader frames;
    };

    void run(const backend_batch& batch);
    void execute(const open_backend& c);
    void execute(const close_backend& c);
    void execute(const send_to_backend& c);
    void execute(const cancel_at_backend& c);
    void write_message(connection to, const backend_message& message);
    void connected(const backend_connect_ended& ended);
    void received(const caf::io::new_data_msg& data);
    void deliver(connection from, const std::string& payload);
    void take(connection from, backend_server_id server,
              const backend_hello& hello);
    void take(connection from, backend_server_id server, backend_reply reply);
    void refuse_frame(connection from, const std::string& why);
    void closed(connection handle);
    void lose(backend_server_id server);
    void shut(link& l);
    void accept(const settings_accepted& accepted);
    static line* find(link& l, connection handle);
    static line* least_loaded(link& l);

    backend_links_parts m_parts;
    std::unordered_map<backend_server_id, endpoint> m_addresses;
    std::unordered_map<backend_server_id, link> m_links;
    std::unordered_map<connection, source> m_sources;
    std::vector<connection> m_to_flush;
};

} // namespace cranberrywood

#endif
