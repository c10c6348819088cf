#ifndef CRANBERRYWOOD_LOOP_RELAY_LINKS_HPP
#define CRANBERRYWOOD_LOOP_RELAY_LINKS_HPP

#include "core/gateway_messages.hpp"
#include "loop/http_client.hpp"

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cranberrywood {

/** Path of the calls of peers that ask this VM to relay an exchange. */
constexpr const char* relay_path = "/v1/relay";

/**
 * Asks peers to relay exchanges, one at a time on each connection. A cancelled
 * exchange closes its connection, from which the peer learns of it.
 */
class relay_links
{
public:
    using end_handler = std::function<void(exchange_ended ended)>;

    /** Peers serve relays at the same port of their hosts. */
    relay_links(loop_context& loop, std::uint16_t peer_port,
                end_handler handler);

    void start(const start_relay& relay);
    void cancel(exchange_id exchange);
    /** Sets how many connections may be open. */
    void limit_connections(std::size_t most)
    {
        m_most = most;
    }
    /** Closes connections that were idle for long. */
    void sweep(time_point now);

private:
    struct idle_client
    {
        std::unique_ptr<http_client> client;
        time_point since;
    };
    struct open_relay
    {
        endpoint peer;
        std::unique_ptr<http_client> client;
    };

    std::unique_ptr<http_client> client_for(const endpoint& peer);
    void ended(exchange_id exchange, const http_result& result);

    bool has_room();

    loop_context& m_loop;
    std::uint16_t m_peer_port;
    end_handler m_handler;
    std::unordered_map<exchange_id, open_relay> m_open;
    std::map<std::string, std::vector<idle_client>> m_idle;
    std::size_t m_most = std::numeric_limits<std::size_t>::max();
};

} // namespace cranberrywood

#endif
