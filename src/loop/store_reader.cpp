#include "loop/store_reader.hpp"

#include <boost/asio/post.hpp>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

/** Time in which a list must be answered, and a watch beyond its wait. */
constexpr duration answer_time = 1500ms;

} // namespace

store_reader::store_reader(loop_context& loop, const platform_adapter& adapter,
                           endpoint store, store_area area, duration pause,
                           random_source& random, store_listener& listener,
                           read_extent extent)
    : m_loop(loop), m_adapter(adapter), m_area(area), m_listener(listener),
      m_follower(pause, random, extent), m_store(std::move(store)),
      m_timer(loop.io)
{
}

void store_reader::start()
{
    if (m_client) {
        return;
    }
    m_client = std::make_unique<http_client>(m_loop, m_store);
    m_follower.restart();
    next();
}

void store_reader::stop()
{
    m_client.reset();
    m_timer.cancel();
}

void store_reader::next()
{
    struct visitor
    {
        store_reader& reader;

        void operator()(const list_items& list) const
        {
            reader.call(reader.m_adapter.list_target(
                            reader.m_area, list.after_key, list.serializable),
                        answer_time);
        }
        void operator()(const watch_items& watch) const
        {
            reader.call(reader.m_adapter.watch_target(reader.m_area,
                                                      watch.after, watch.wait),
                        watch.wait + answer_time);
        }
        void operator()(const pause_reading& pause) const
        {
            reader.wait_until(pause.until);
        }
        void operator()(const stop_reading& /*stop*/) const
        {
            reader.stop();
        }
    };
    std::visit(visitor{*this}, m_follower.next_call(m_loop.time.now()));
}

void store_reader::wait_until(time_point at)
{
    m_timer.expires_after(at - m_loop.time.now());
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error && m_client) {
            next();
        }
    });
}

void store_reader::call(const std::string& target, duration timeout)
{
    m_client->get(target, timeout, [this](http_result result) {
        // The listener may stop this reader, which ends the client.
        boost::asio::post(m_loop.io, [this, result = std::move(result)] {
            if (m_client) {
                take(result);
            }
            if (m_client) {
                next();
            }
        });
    });
}

void store_reader::take(const http_result& result)
{
    const time_point now = m_loop.time.now();
    if (const auto* why = std::get_if<std::string>(&result)) {
        m_follower.failed(store_fault::unavailable, now);
        m_listener.store_failed(m_area, *why);
        return;
    }
    const auto& response = std::get<http_response>(result);
    auto page = m_adapter.read_page(response);
    if (const auto* fault = std::get_if<store_fault>(&page)) {
        m_follower.failed(*fault, now);
        if (*fault == store_fault::unavailable) {
            m_listener.store_failed(
                m_area, "status " + std::to_string(response.result_int()));
        }
        return;
    }
    const page_result followed =
        m_follower.handle_page(std::move(std::get<store_page>(page)), now);
    if (const auto* refused = std::get_if<refused_page>(&followed)) {
        m_listener.page_refused(m_area, *refused);
    } else {
        m_listener.store_read(m_area, std::get<followed_page>(followed));
    }
}

} // namespace cranberrywood
