#ifndef CRANBERRYWOOD_TESTS_STANDINS_PLATFORM_SERVICE_HPP
#define CRANBERRYWOOD_TESTS_STANDINS_PLATFORM_SERVICE_HPP

#include "tests/standins/backend_broker.hpp"
#include "tests/standins/published_folder.hpp"

#include <condition_variable>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace cranberrywood::standins {

/**
 * The platform's configuration service and VM list over HTTP, with routes by
 * which a test makes them stale, slow or dead and reads the counters of the
 * backend servers.
 */
class platform_service
{
public:
    using order_sink = std::function<void(const order_for_server&)>;

    platform_service(const standin_settings& settings,
                     std::vector<std::string> vms,
                     std::shared_ptr<counter_board> board, order_sink orders);
    ~platform_service();
    platform_service(const platform_service&) = delete;
    platform_service& operator=(const platform_service&) = delete;

    /** Starts to listen; returns false when the port is not free. */
    bool start();

private:
    using request = httplib::Request;
    using reply = httplib::Response;
    using json = nlohmann::json;

    /** How the configuration service behaves. */
    enum class service_mode : std::uint8_t
    {
        normal,
        /** Serves the revision that it had when it became stale. */
        stale,
        slow,
        down,
    };

    struct listed
    {
        std::string name;
        bool present = true;
        bool leaving = false;
    };

    void add_platform_routes();
    void add_control_routes();
    void serve_configuration(const request& from, reply& to);
    void serve_list(reply& to);
    void set_mode(const request& from, reply& to);
    void set_vm(const request& from, reply& to);
    void order_server(const request& from, reply& to);
    void serve_counters(reply& to) const;
    void watch_folder();
    json list_json() const;

    const standin_settings m_settings;
    std::shared_ptr<counter_board> m_board;
    order_sink m_orders;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    service_mode m_mode = service_mode::normal;
    published_folder m_folder;
    published_value m_served;
    std::vector<listed> m_vms;
    std::uint64_t m_list_version = 1;
    /** Lists that are not served yet, with the time at which they are. */
    std::deque<std::pair<std::chrono::steady_clock::time_point, json>> m_lists;
    json m_served_list;
    std::uint64_t m_reads = 0;

    httplib::Server m_server;
    std::thread m_server_thread;
    std::thread m_folder_thread;
};

} // namespace cranberrywood::standins

#endif
