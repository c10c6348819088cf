#include "io/vm_process.hpp"

#include "io/backend_links.hpp"
#include "io/configuration_reader.hpp"
#include "io/connector.hpp"
#include "io/http_front.hpp"
#include "io/log_sink.hpp"
#include "io/node_actor.hpp"
#include "io/peer_links.hpp"
#include "loop/boot_clock.hpp"

#include <random>

namespace cranberrywood {

namespace {

/** Threads that run actors; the brokers have one of their own. */
constexpr std::size_t actor_threads = 2;

caf::actor_system_config& prepare(caf::actor_system_config& config)
{
    config.load<caf::io::middleman>();
    // Threads that steal work poll while they are idle.
    config.set("scheduler.policy", caf::atom("sharing"));
    config.set("scheduler.max-threads", actor_threads);
    return config;
}

std::uint64_t random_number()
{
    std::random_device device;
    constexpr unsigned half_bits = 32;
    return (static_cast<std::uint64_t>(device()) << half_bits) | device();
}

node_identity identity_of(const process_settings& settings, time_point now)
{
    node_identity identity;
    identity.vm = id_of<vm_id>(settings.name);
    identity.process = incarnation(random_number() | 1U);
    identity.data_centre = id_of<data_centre_id>(settings.data_centre);
    identity.site = settings.site;
    identity.started = now;
    return identity;
}

/** Lets the main thread wait until the node has left. */
class leave_signal
{
public:
    void set()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_left = true;
        m_changed.notify_all();
    }
    bool wait(std::chrono::milliseconds limit)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        return m_changed.wait_for(lock, limit, [this] { return m_left; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_left = false;
};

} // namespace

class vm_process::parts
{
public:
    explicit parts(process_settings s)
        : settings(std::move(s)), random(random_number()),
          core(identity_of(settings, time.now()), random),
          system(prepare(config)),
          front(settings, state, time, counts, node_sink()),
          reader(settings, counts, node_sink())
    {
        start_actors();
    }

    /** Returns a function that hands events to the node, once it is there. */
    std::function<void(event)> node_sink()
    {
        return [this](event e) {
            inbox.add();
            caf::anon_send(node_handle, node_event{std::move(e)});
        };
    }

    /** Starts a broker on the thread of the links. */
    template <class Broker, class Parts>
    caf::actor spawn_broker(Parts broker_parts)
    {
        caf::actor_config config_of_broker{&system.middleman().backend()};
        return system.spawn_class<Broker, caf::no_spawn_options>(
            config_of_broker, std::move(broker_parts));
    }

    void start_actors()
    {
        // Peer messages are counted in the inbox where they are received.
        const auto counted_sink = [this](event e) {
            caf::anon_send(node_handle, node_event{std::move(e)});
        };
        peers = spawn_broker<peer_links>(peer_links_parts{
            settings, connect, inbox, counts, counted_sink, random.next()});
        backends = spawn_broker<backend_links>(
            backend_links_parts{connect, counts, node_sink()});
        command_targets targets{
            [this](answer_caller c) {
                front.answer(c.token, std::move(c.answer));
            },
            [this](const read_configuration& c) { reader.read(c); },
            [this](const read_vm_list& c) { reader.read(c); },
            [this] { left.set(); }};
        node_handle = system.spawn<node_actor>(node_actor_parts{
            core, time, state, inbox, std::move(targets), peers, backends});
    }

    void stop()
    {
        front.stop();
        caf::anon_send_exit(node_handle, caf::exit_reason::user_shutdown);
        caf::anon_send(peers, stop_atom::value);
        caf::anon_send(backends, stop_atom::value);
        // The front and the reader outlive the actor that calls them.
        caf::scoped_actor waiter(system);
        waiter->wait_for(node_handle, peers, backends);
        node_handle = nullptr;
        peers = nullptr;
        backends = nullptr;
    }

    process_settings settings;
    boot_clock time;
    seeded_random random;
    node core;
    shared_state state;
    inbox_gauge inbox;
    metrics counts;
    leave_signal left;
    caf::actor_system_config config;
    caf::actor_system system;
    connector connect;
    http_front front;
    configuration_reader reader;
    caf::actor peers;
    caf::actor backends;
    caf::actor node_handle;
};

vm_process::vm_process(process_settings settings)
    : m_parts(std::make_unique<parts>(std::move(settings)))
{
}

vm_process::~vm_process() = default;

bool vm_process::start()
{
    return m_parts->front.start();
}

void vm_process::request_leave()
{
    m_parts->front.begin_leave();
    m_parts->node_sink()(shutdown_requested{});
}

bool vm_process::wait_left(std::chrono::milliseconds limit)
{
    return m_parts->left.wait(limit);
}

void vm_process::stop()
{
    m_parts->stop();
}

} // namespace cranberrywood
