#include "loop/relay_links.hpp"

#include "wire/relay_codec.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Time in which a peer accepts a connection, if it ever does. */
constexpr duration connect_time = 250ms;
/** Time beyond the deadline in which the peer says how the exchange ended. */
constexpr duration answer_margin = 500ms;
/** Idle time after which a connection is closed, before the peer does. */
constexpr duration idle_limit = 3s;

} // namespace

relay_links::relay_links(loop_context& loop, std::uint16_t peer_port,
                         end_handler handler)
    : m_loop(loop), m_peer_port(peer_port), m_handler(std::move(handler))
{
}

void relay_links::start(const start_relay& relay)
{
    const endpoint peer{relay.peer.substr(0, relay.peer.rfind(':')),
                        m_peer_port};
    if (!has_room()) {
        m_open[relay.exchange] = {peer, nullptr};
        boost::asio::post(m_loop.io, [this, exchange = relay.exchange] {
            if (m_open.erase(exchange) != 0) {
                m_handler({exchange,
                           exchange_failure{exchange_fault::not_connected},
                           {}});
            }
        });
        return;
    }
    open_relay& open = m_open[relay.exchange];
    open = {peer, client_for(peer)};
    open.client->post(relay_path, encode(relay.request),
                      {connect_time, relay.request.deadline + answer_margin},
                      [this, exchange = relay.exchange](http_result result) {
                          // The client calls, so it ends after it returned.
                          boost::asio::post(
                              m_loop.io,
                              [this, exchange, result = std::move(result)] {
                                  ended(exchange, result);
                              });
                      });
}

// Idle connections end before an exchange is turned away.
bool relay_links::has_room()
{
    std::size_t idle = 0;
    for (const auto& [peer, clients] : m_idle) {
        idle += clients.size();
    }
    if (m_open.size() + idle < m_most) {
        return true;
    }
    m_idle.clear();
    return m_open.size() < m_most;
}

std::unique_ptr<http_client> relay_links::client_for(const endpoint& peer)
{
    auto& idle = m_idle[to_string(peer)];
    if (idle.empty()) {
        return std::make_unique<http_client>(m_loop, peer);
    }
    auto client = std::move(idle.back().client);
    idle.pop_back();
    return client;
}

void relay_links::ended(exchange_id exchange, const http_result& result)
{
    const auto found = m_open.find(exchange);
    if (found == m_open.end()) {
        return;
    }
    open_relay open = std::move(found->second);
    m_open.erase(found);
    const auto* response = std::get_if<http_response>(&result);
    if (response == nullptr) {
        const exchange_fault fault = open.client->request_written()
                                         ? exchange_fault::connection_lost
                                         : exchange_fault::not_connected;
        m_handler({exchange, exchange_failure{fault}, {}});
        return;
    }
    m_idle[to_string(open.peer)].push_back(
        {std::move(open.client), m_loop.time.now()});
    // A program that does not relay answers with another status.
    if (response->result() != boost::beast::http::status::ok) {
        m_handler({exchange, exchange_failure{exchange_fault::declined}, {}});
        return;
    }
    auto decoded = decode_relay_result(response->body(), exchange);
    if (std::holds_alternative<wire_error>(decoded)) {
        m_handler(
            {exchange, exchange_failure{exchange_fault::invalid_answer}, {}});
        return;
    }
    m_handler(std::get<exchange_ended>(std::move(decoded)));
}

void relay_links::cancel(exchange_id exchange)
{
    m_open.erase(exchange);
}

void relay_links::sweep(time_point now)
{
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        auto& idle = it->second;
        idle.erase(std::remove_if(idle.begin(), idle.end(),
                                  [&](const idle_client& c) {
                                      return now - c.since > idle_limit;
                                  }),
                   idle.end());
        it = idle.empty() ? m_idle.erase(it) : std::next(it);
    }
}

} // namespace cranberrywood
