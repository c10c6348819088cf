#ifndef CRANBERRYWOOD_LOOP_STORE_READER_HPP
#define CRANBERRYWOOD_LOOP_STORE_READER_HPP

#include "loop/http_client.hpp"
#include "loop/platform_adapter.hpp"
#include "systems/store/store_follower.hpp"

namespace cranberrywood {

/** Who is told what a store reader learns. */
class store_listener
{
public:
    virtual ~store_listener() = default;
    virtual void store_read(store_area area, const followed_page& page) = 0;
    /** A call failed for a reason; successes end the failure. */
    virtual void store_failed(store_area area, const std::string& why) = 0;
    /** A call was answered with a page that cannot be used. */
    virtual void page_refused(store_area area, const refused_page& page) = 0;
};

/** Makes the calls that a store follower decides on. */
class store_reader
{
public:
    store_reader(loop_context& loop, const platform_adapter& adapter,
                 endpoint store, store_area area, duration pause,
                 random_source& random, store_listener& listener,
                 read_extent extent = read_extent::continuous);

    /** Begins to read, from a list on; does nothing when it reads already. */
    void start();
    /** Makes no further calls. */
    void stop();

    const store_follower& follower() const
    {
        return m_follower;
    }

private:
    void next();
    void wait_until(time_point at);
    void call(const std::string& target, duration timeout);
    void take(const http_result& result);

    loop_context& m_loop;
    const platform_adapter& m_adapter;
    store_area m_area;
    store_listener& m_listener;
    store_follower m_follower;
    endpoint m_store;
    std::unique_ptr<http_client> m_client;
    boost::asio::steady_timer m_timer;
};

} // namespace cranberrywood

#endif
