#include "loop/backend_links.hpp"

#include "loop/backend_connection.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace cranberrywood {

backend_links::backend_links(loop_context& loop, exchange_handler& handler)
    : m_loop(loop), m_handler(handler)
{
}

backend_links::~backend_links()
{
    for (const auto& [exchange, connection] : m_busy) {
        connection->close();
    }
    for (const auto& [server, connection] : m_probes) {
        connection->close();
    }
    for (const auto& [server, p] : m_pools) {
        for (const auto& connection : p.idle) {
            connection->close();
        }
    }
}

void backend_links::start(const start_exchange& exchange, std::string bytes)
{
    carried_exchange carried{exchange.exchange, exchange.request->id,
                             std::move(bytes),
                             exchange.request->method == "HEAD", exchange.keep};
    pool& p = pool_of(exchange.server, exchange.address);
    if (auto kept = take_idle(p)) {
        ++m_counts.reused;
        m_busy[exchange.exchange] = kept;
        kept->send(std::move(carried));
        return;
    }
    auto fresh = std::make_shared<backend_connection>(*this, exchange.server,
                                                      exchange.address);
    if (!make_room()) {
        m_busy[exchange.exchange] = fresh;
        fresh->refuse(std::move(carried));
        return;
    }
    ++m_counts.opened;
    m_busy[exchange.exchange] = fresh;
    fresh->open(std::move(carried));
}

void backend_links::cancel(exchange_id exchange)
{
    const auto found = m_busy.find(exchange);
    if (found != m_busy.end()) {
        found->second->close();
        m_counts.count(close_reason::cancelled);
        m_busy.erase(found);
    }
}

void backend_links::probe(const probe_server& probe)
{
    if (m_probes.count(probe.server) != 0) {
        return;
    }
    if (!make_room()) {
        // A probe proves nothing while this VM has no descriptor for it.
        boost::asio::post(m_loop.io, [this, server = probe.server] {
            m_handler.server_probed(server, probe_result::unreachable);
        });
        return;
    }
    pool_of(probe.server, probe.address);
    auto fresh = std::make_shared<backend_connection>(*this, probe.server,
                                                      probe.address);
    ++m_counts.opened;
    m_probes[probe.server] = fresh;
    fresh->open_idle();
}

bool backend_links::make_room()
{
    constexpr auto unlimited = std::numeric_limits<std::size_t>::max();
    if (m_most == unlimited || connections() < m_most) {
        return true;
    }
    // Connections of a pool stand in the order of their last use.
    pool* longest = nullptr;
    const time_point now = m_loop.time.now();
    for (auto& [server, p] : m_pools) {
        if (!p.idle.empty() &&
            (longest == nullptr || p.idle.front()->rested(now) >
                                       longest->idle.front()->rested(now))) {
            longest = &p;
        }
    }
    if (longest == nullptr) {
        return false;
    }
    longest->idle.front()->close();
    m_counts.count(close_reason::idle);
    longest->idle.erase(longest->idle.begin());
    return true;
}

void backend_links::pressure_fell()
{
    std::vector<connection_pointer> all;
    for (const auto& [exchange, connection] : m_busy) {
        all.push_back(connection);
    }
    for (const auto& connection : all) {
        connection->pressure_fell();
    }
}

void backend_links::sweep(time_point now)
{
    for (auto it = m_pools.begin(); it != m_pools.end();) {
        auto& idle = it->second.idle;
        for (const auto& connection : idle) {
            if (connection->idle_for_long(now)) {
                connection->close();
                m_counts.count(close_reason::idle);
            }
        }
        idle.erase(std::remove_if(idle.begin(), idle.end(),
                                  [&](const connection_pointer& c) {
                                      return c->idle_for_long(now);
                                  }),
                   idle.end());
        it = idle.empty() ? m_pools.erase(it) : std::next(it);
    }
}

std::size_t backend_links::idle_connections() const
{
    std::size_t count = 0;
    for (const auto& [server, p] : m_pools) {
        count += p.idle.size();
    }
    return count;
}

backend_links::pool& backend_links::pool_of(backend_server_id server,
                                            const endpoint& address)
{
    pool& p = m_pools[server];
    if (p.address != address) {
        for (const auto& connection : p.idle) {
            connection->close();
            m_counts.count(close_reason::moved);
        }
        p.idle.clear();
        p.address = address;
    }
    return p;
}

// The connection that was used last is the least likely to be closed by the
// server at this moment.
backend_links::connection_pointer backend_links::take_idle(pool& p)
{
    const time_point now = m_loop.time.now();
    while (!p.idle.empty()) {
        connection_pointer kept = p.idle.back();
        p.idle.pop_back();
        if (!kept->idle_for_long(now) &&
            m_rest_limits.may_use(kept->server(), kept->rested(now), now)) {
            return kept;
        }
        kept->close();
        m_counts.count(close_reason::idle);
    }
    return nullptr;
}

void backend_links::became_idle(const connection_pointer& connection,
                                std::uint32_t most)
{
    pool& p = m_pools[connection->server()];
    if (p.idle.empty() && p.address.host.empty()) {
        p.address = connection->address();
    }
    if (p.address != connection->address()) {
        connection->close();
        m_counts.count(close_reason::moved);
    } else if (p.idle.size() >= most) {
        connection->close();
        m_counts.count(close_reason::surplus);
    } else {
        p.idle.push_back(connection);
    }
}

void backend_links::ended(backend_connection* connection, close_reason reason)
{
    m_counts.count(reason);
    const auto found = m_pools.find(connection->server());
    if (found == m_pools.end()) {
        return;
    }
    auto& idle = found->second.idle;
    idle.erase(std::remove_if(idle.begin(), idle.end(),
                              [&](const connection_pointer& c) {
                                  return c.get() == connection;
                              }),
               idle.end());
}

void backend_links::probed(const connection_pointer& connection,
                           probe_result result)
{
    const backend_server_id server = connection->server();
    m_probes.erase(server);
    if (result == probe_result::accepted) {
        became_idle(connection, connection_keep().most);
    } else {
        m_counts.count(close_reason::failed);
    }
    m_handler.server_probed(server, result);
}

} // namespace cranberrywood
