#ifndef CRANBERRYWOOD_TESTS_STANDINS_BACKEND_BROKER_HPP
#define CRANBERRYWOOD_TESTS_STANDINS_BACKEND_BROKER_HPP

#include "io/caf_headers.hpp"
#include "loop/boot_clock.hpp"
#include "tests/standins/standin_server.hpp"
#include "wire/backend_codec.hpp"
#include "wire/frame_reader.hpp"

#include <mutex>
#include <unordered_map>

namespace cranberrywood::standins {

/** Everything that the backend servers counted, for other threads. */
class counter_board
{
public:
    using by_server = std::map<std::string, server_counts>;
    using by_body = std::map<std::string, std::uint64_t>;

    void publish(const std::string& server, const server_counts& counts)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_servers[server] = counts;
    }
    void publish_runs(by_body runs)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_runs = std::move(runs);
    }
    by_server servers() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_servers;
    }
    by_body runs() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_runs;
    }

private:
    mutable std::mutex m_mutex;
    by_server m_servers;
    by_body m_runs;
};

/** What a test asks one backend server to do. */
enum class server_order : std::uint8_t
{
    drain,
    undrain,
    kill,
    hold_versions,
};

struct order_for_server
{
    std::string server;
    server_order what = server_order::drain;
    index_version oldest;
    index_version newest;
};

struct work_due
{
    std::size_t server = 0;
};
struct restart_due
{
    std::size_t server = 0;
};
struct greeting_due
{
    caf::io::connection_handle to;
};

using publish_atom = caf::atom_constant<caf::atom("publish")>;

/** Listens for all backend servers of a fleet, each on its own port. */
class backend_broker : public caf::io::broker
{
public:
    backend_broker(caf::actor_config& config,
                   std::shared_ptr<const settings_index> fleet,
                   standin_settings settings,
                   std::shared_ptr<counter_board> board);

    caf::behavior make_behavior() override;

private:
    using connection = caf::io::connection_handle;
    struct source
    {
        std::size_t server = 0;
        frame_reader frames;
    };

    void listen();
    void accept(const caf::io::new_connection_msg& m);
    void greet(connection to);
    void received(const caf::io::new_data_msg& m);
    void handle(connection from, std::size_t server,
                const backend_message& message);
    void send_reply(const standin_server::reply& r);
    void write_message(connection to, const backend_message& message);
    void finish(std::size_t server);
    void schedule(std::size_t server);
    void close_if_dead(std::size_t server);
    void restart(std::size_t server);
    void closed(connection handle);
    void obey(const order_for_server& order);
    void publish();

    std::shared_ptr<const settings_index> m_fleet;
    standin_settings m_settings;
    std::shared_ptr<counter_board> m_board;
    boot_clock m_clock;
    std::vector<standin_server> m_servers;
    /** When each server's next message about ended work is due. */
    std::vector<std::optional<time_point>> m_due;
    std::unordered_map<caf::io::accept_handle, std::size_t> m_doors;
    std::unordered_map<connection, source> m_sources;
};

} // namespace cranberrywood::standins

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cranberrywood::standins::order_for_server)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cranberrywood::standins::work_due)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cranberrywood::standins::restart_due)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cranberrywood::standins::greeting_due)

#endif
