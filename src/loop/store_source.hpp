#ifndef CRANBERRYWOOD_LOOP_STORE_SOURCE_HPP
#define CRANBERRYWOOD_LOOP_STORE_SOURCE_HPP

#include "core/gateway.hpp"
#include "loop/event_log.hpp"
#include "loop/mirror_reader.hpp"
#include "loop/store_reader.hpp"
#include "systems/store/store_mirror.hpp"
#include "systems/store/store_readers.hpp"
#include "systems/store/store_view.hpp"

#include <functional>
#include <memory>

namespace cranberrywood {

/** Path of the calls of VMs that ask for this one's configuration. */
constexpr const char* configuration_path = "/v1/configuration";

/** Where a VM learns the state of the store. */
struct store_addresses
{
    endpoint store;
    /** Port at which all VMs answer other VMs. */
    std::uint16_t control_port = 0;
};

/**
 * Feeds the gateway with the state of the store: read from the store itself,
 * through a VM that does, or, for the configuration, from a peer with a greater
 * version. Keeps the copy from which other VMs learn.
 */
class store_source : public store_listener
{
public:
    using event_handler = std::function<void(const gateway_event& event)>;
    /** Told the number of the last change that followers can get. */
    using news_handler = std::function<void(std::uint64_t place)>;

    /** The gateway must outlive this object. */
    store_source(loop_context& loop, const platform_adapter& adapter,
                 event_log& log, const store_addresses& addresses,
                 random_source& random, gateway& core, event_handler handler,
                 news_handler news);

    /** Lists the store at once, as the process starts. */
    void start();
    /** Decides where to read; to be called at regular intervals. */
    void review();
    /** Returns whether no source is chosen yet. */
    bool undecided() const
    {
        return !m_reading_store && m_followed.empty();
    }

    mirror_update update_for_followers(incarnation process,
                                       std::uint64_t place) const;
    /** Returns the configuration in force, for a peer that asks for it. */
    mirror_update own_configuration() const;

    void store_read(store_area area, const followed_page& page) override;
    void store_failed(store_area area, const std::string& why) override;
    void page_refused(store_area area, const refused_page& page) override;

private:
    /** Told what the serializable lists at the start bring. */
    class first_list_listener : public store_listener
    {
    public:
        explicit first_list_listener(store_source& source) : m_source(source) {}
        void store_read(store_area area, const followed_page& page) override;
        void store_failed(store_area area, const std::string& why) override;
        void page_refused(store_area area, const refused_page& page) override;

    private:
        store_source& m_source;
    };

    void choose_store_source();
    /** Applies changes of the store, from itself or from another VM. */
    void apply_page(store_area area, const followed_page& page);
    /** Carries out an update of the view that a page led to. */
    void apply_update(store_area area, const followed_page& page,
                      const view_update& update);
    /** Takes the copy of a reader that cannot reach the store. */
    void take_unconfirmed(const mirror_update& update);
    followed_page page_of(const mirror_update& update, store_area area) const;
    void confirm();
    void log_list(store_area area, const followed_page& page,
                  const char* suffix);
    /** Keeps the configuration in force as it was read. */
    void keep_configuration(const followed_page& page);
    void ask_peer_for_configuration();
    void configuration_came(const http_result& result);
    void followed_update(const mirror_update& update);
    void reader_failed(reader_fault fault, const std::string& why);
    void contact_changed(bool reachable, const std::string& why);
    /** Returns whether both areas of the store are read. */
    bool reads_all() const;

    loop_context& m_loop;
    const platform_adapter& m_adapter;
    event_log& m_log;
    std::uint16_t m_control_port;
    gateway& m_gateway;
    event_handler m_handler;
    news_handler m_news;
    store_view m_view;
    store_mirror m_mirror;
    store_readers m_readers;
    store_reader m_settings_reader;
    store_reader m_servers_reader;
    first_list_listener m_first_list;
    store_reader m_first_settings_reader;
    store_reader m_first_servers_reader;
    mirror_reader m_mirror_reader;
    std::unique_ptr<http_client> m_configuration_client;
    /** The configuration in force, as it was read. */
    mirrored_item m_configuration;
    std::string m_followed;
    bool m_reading_store = false;
    bool m_store_contact = false;
    /** A linearizable read has confirmed the state. */
    bool m_confirmed = false;
    /** Contact, or its lack, was logged since the start. */
    bool m_contact_logged = false;
    time_point m_contact_since;
};

} // namespace cranberrywood

#endif
