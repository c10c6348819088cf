#include "io/configuration_reader.hpp"

#include "io/platform_json.hpp"

#include <httplib.h>

namespace cranberrywood {

namespace {

constexpr auto connect_timeout = std::chrono::seconds(1);
/** Longest time that the service may hold a watch open. */
constexpr auto watch_time = std::chrono::milliseconds(2000);
/** Time for an answer, on top of the time of a watch. */
constexpr auto answer_timeout = std::chrono::milliseconds(2000);
constexpr int not_modified = 304;

httplib::Client client_for(const endpoint& service)
{
    httplib::Client client(service.host, service.port);
    client.set_connection_timeout(connect_timeout);
    client.set_read_timeout(watch_time + answer_timeout);
    return client;
}

std::string target_of(const read_configuration& wanted)
{
    std::string target = "/v1/configuration";
    if (wanted.newer_than.is_set()) {
        target += "?newer_than=" + std::to_string(wanted.newer_than.value()) +
                  "&wait_ms=" + std::to_string(watch_time.count());
    }
    return target;
}

} // namespace

configuration_reader::configuration_reader(const process_settings& settings,
                                           metrics& counts, event_sink to_node)
    : m_configuration(settings.configuration), m_vm_list(settings.vm_list),
      m_metrics(counts), m_to_node(std::move(to_node)),
      m_configuration_thread([this] { run_configuration(); }),
      m_list_thread([this] { run_vm_list(); })
{
}

configuration_reader::~configuration_reader()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_configuration_thread.join();
    m_list_thread.join();
}

void configuration_reader::read(const read_configuration& wanted)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_wanted = wanted;
    m_changed.notify_all();
}

void configuration_reader::read(const read_vm_list& /*command*/)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_list_wanted = true;
    m_changed.notify_all();
}

void configuration_reader::run_configuration()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    for (;;) {
        m_changed.wait(lock, [this] { return m_stopping || m_wanted; });
        if (m_stopping) {
            return;
        }
        const read_configuration wanted = *m_wanted;
        m_wanted.reset();
        lock.unlock();
        read_now(wanted);
        lock.lock();
    }
}

void configuration_reader::run_vm_list()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    for (;;) {
        m_changed.wait(lock, [this] { return m_stopping || m_list_wanted; });
        if (m_stopping) {
            return;
        }
        m_list_wanted = false;
        lock.unlock();
        read_list_now();
        lock.lock();
    }
}

void configuration_reader::read_now(const read_configuration& wanted)
{
    m_metrics.platform_reads.Increment();
    httplib::Client client = client_for(m_configuration);
    const auto result = client.Get(target_of(wanted));
    if (!result) {
        report_unavailable(httplib::to_string(result.error()));
        return;
    }
    if (result->status == not_modified && m_last &&
        m_last->revision == wanted.newer_than) {
        m_to_node(configuration_read{*m_last});
        return;
    }
    if (result->status == not_modified && wanted.newer_than.is_set()) {
        // Settings that came from a peer: the value itself is read once.
        read_now(read_configuration{});
        return;
    }
    if (result->status != 200) {
        report_unavailable("status " + std::to_string(result->status));
        return;
    }
    take_value(result->body);
}

void configuration_reader::take_value(const std::string& body)
{
    m_last = read_published_value(body);
    if (!m_last) {
        report_unavailable("answer is not a published value");
        return;
    }
    m_to_node(configuration_read{*m_last});
}

void configuration_reader::report_unavailable(const std::string& why)
{
    m_to_node(configuration_unavailable{why});
}

void configuration_reader::read_list_now()
{
    m_metrics.platform_reads.Increment();
    httplib::Client client = client_for(m_vm_list);
    const auto result = client.Get("/v1/vms");
    if (!result || result->status != 200) {
        return;
    }
    if (auto list = read_vm_list_json(result->body)) {
        m_to_node(std::move(*list));
    }
}

} // namespace cranberrywood
