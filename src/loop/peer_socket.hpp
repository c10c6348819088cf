#ifndef CRANBERRYWOOD_LOOP_PEER_SOCKET_HPP
#define CRANBERRYWOOD_LOOP_PEER_SOCKET_HPP

#include "core/gateway_datagram.hpp"
#include "loop/loop_context.hpp"

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <optional>
#include <string>

namespace cranberrywood {

/** Datagrams to and from the gateways of other VMs. */
class peer_socket
{
public:
    using handler =
        std::function<void(const std::string& from, gateway_datagram datagram)>;
    /** Told why bytes from a peer are no datagram. */
    using refusal_handler = std::function<void(const std::string& why)>;

    peer_socket(loop_context& loop, handler received, refusal_handler refused);

    /** Starts to receive; returns why it cannot, or nothing. */
    std::optional<std::string> open(const endpoint& address);

    /** Sends a datagram; it may be lost. */
    void send(const std::string& to, const gateway_datagram& datagram);

private:
    void wait();
    void receive_all();

    loop_context& m_loop;
    handler m_received;
    refusal_handler m_refused;
    boost::asio::ip::udp::socket m_socket;
};

} // namespace cranberrywood

#endif
