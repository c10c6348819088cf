#include "loop/peer_socket.hpp"

#include "settings/process_file.hpp"
#include "wire/gateway_codec.hpp"

namespace cranberrywood {

namespace {

namespace asio = boost::asio;
using udp = asio::ip::udp;
using error_code = boost::system::error_code;

} // namespace

peer_socket::peer_socket(loop_context& loop, handler received,
                         refusal_handler refused)
    : m_loop(loop), m_received(std::move(received)),
      m_refused(std::move(refused)), m_socket(loop.io)
{
}

std::optional<std::string> peer_socket::open(const endpoint& address)
{
    error_code error;
    const auto ip = asio::ip::make_address(address.host, error);
    const udp::endpoint at(ip, address.port);
    if (!error) {
        m_socket.open(at.protocol(), error);
    }
    if (!error) {
        m_socket.non_blocking(true, error);
    }
    if (!error) {
        m_socket.bind(at, error);
    }
    if (error) {
        return to_string(address) + ": " + error.message();
    }
    wait();
    return std::nullopt;
}

void peer_socket::send(const std::string& to, const gateway_datagram& datagram)
{
    const auto read = read_endpoint(to);
    const auto* address = std::get_if<endpoint>(&read);
    if (address == nullptr) {
        m_refused("address \"" + to + "\" from a hint");
        return;
    }
    error_code ignored;
    const auto ip = asio::ip::make_address(address->host, ignored);
    const std::string bytes = encode(datagram);
    // A datagram that does not go out is as good as one that is lost.
    m_socket.send_to(asio::buffer(bytes), {ip, address->port}, 0, ignored);
}

void peer_socket::wait()
{
    m_socket.async_wait(udp::socket::wait_read,
                        [this](const error_code& error) {
                            if (!error) {
                                receive_all();
                                wait();
                            }
                        });
}

void peer_socket::receive_all()
{
    while (true) {
        udp::endpoint from;
        error_code error;
        const std::size_t size =
            m_socket.receive_from(asio::buffer(m_loop.scratch), from, 0, error);
        if (error == asio::error::would_block) {
            return;
        }
        if (error) {
            // A refusal that an earlier datagram met; the next may be fine.
            continue;
        }
        auto decoded = decode_gateway_datagram({m_loop.scratch.data(), size});
        if (const auto* fault = std::get_if<wire_error>(&decoded)) {
            m_refused(fault->what);
            continue;
        }
        m_received(to_string(endpoint{from.address().to_string(), from.port()}),
                   std::get<gateway_datagram>(std::move(decoded)));
    }
}

} // namespace cranberrywood
