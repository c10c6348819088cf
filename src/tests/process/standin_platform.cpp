#include "process/standin_platform.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace cranberrywood::tests {

namespace {

using nlohmann::json;

constexpr vm_ports ports_of_vms{18363, 18364, 18360, 18740};
constexpr std::chrono::milliseconds poll_interval{100};
constexpr std::chrono::milliseconds start_time{8000};
/** Addresses 127.A.B.*, so that runs side by side don't meet. */
std::string network_of_run()
{
    const auto id = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + id / 250 % 250) + "." +
           std::to_string(1 + id % 250);
}

json route(const char* name, const char* prefix, const char* type,
           const char* service)
{
    return {
        {"name", name},       {"host", "lots.example"},   {"prefix", prefix},
        {"route_type", type}, {"service", service},       {"max_attempts", 2},
        {"timeout_ms", 2000}, {"target_latency_ms", 400}, {"priority", 1}};
}

json service(const char* name)
{
    return {
        {"name", name}, {"health_path", "/health"}, {"max_connections", 400}};
}

} // namespace

standin_platform::standin_platform(const platform_plan& plan,
                                   standin_server::behaviour react)
{
    const std::string network = network_of_run();
    m_server_host = network + ".250";
    m_store =
        std::make_unique<standin_store>(network + ".251", plan.page_items);
    for (unsigned i = 0; i < plan.servers_of_service; ++i) {
        m_desk.push_back(std::make_unique<standin_server>(
            "i-desk" + std::to_string(i), m_server_host, m_record, react));
        m_odd.push_back(std::make_unique<standin_server>(
            "i-odd" + std::to_string(i), m_server_host, m_record, react));
    }
    write_configuration(plan.max_body_bytes);
    write_entries();
    m_origin = {
        plan.program,     plan.folder,
        network,          network + ".251:" + std::to_string(m_store->port()),
        ports_of_vms,     plan.vms,
        plan.stop_within, plan.more_settings};
    for (unsigned i = 0; i < plan.vms; ++i) {
        m_vms.push_back(std::make_unique<vm_process>(m_origin, i));
    }
}

void standin_platform::write_configuration(std::uint64_t max_body_bytes)
{
    const json configuration = {
        {"version", 3},
        {"routes",
         {route("lot", "/lot/", "idempotent", "desk"),
          route("order", "/order/", "non_idempotent", "desk"),
          route("odd", "/odd/", "idempotent", "odd")}},
        {"services", {service("desk"), service("odd")}},
        {"limits",
         {{"max_header_bytes", 16384},
          {"max_body_bytes", max_body_bytes},
          {"header_timeout_ms", 5000},
          {"idle_timeout_ms", 15000}}},
        {"tenants", json::array()}};
    m_store->put("op/config", configuration.dump());
}

std::string standin_platform::entry_of(const std::string& service,
                                       std::uint16_t port) const
{
    const json entry = {{"service", service},
                        {"address", m_server_host + ":" + std::to_string(port)},
                        {"zone", "dc-a"},
                        {"version", "v1"},
                        {"max_concurrency", 100},
                        {"state", "ready"},
                        {"cold_remaining_ms", 0},
                        {"sequence", 1},
                        {"born", 1767522870000}};
    return entry.dump();
}

std::string standin_platform::proper_entry() const
{
    return entry_of("desk", m_desk.front()->port());
}

void standin_platform::write_entries()
{
    for (const auto& server : m_desk) {
        m_store->put("servers/" + server->name(),
                     entry_of("desk", server->port()));
    }
    for (const auto& server : m_odd) {
        m_store->put("servers/" + server->name(),
                     entry_of("odd", server->port()));
    }
}

void standin_platform::start_vms()
{
    for (const auto& vm : m_vms) {
        vm->start();
    }
}

bool standin_platform::start_ready()
{
    start_vms();
    return wait_ready(m_vms.size(), start_time);
}

std::size_t standin_platform::ready_vms() const
{
    return static_cast<std::size_t>(
        std::count_if(m_vms.begin(), m_vms.end(),
                      [](const auto& vm) { return vm->ready(); }));
}

bool standin_platform::wait_ready(std::size_t vms,
                                  std::chrono::milliseconds most) const
{
    const auto until = std::chrono::steady_clock::now() + most;
    while (ready_vms() < vms) {
        if (std::chrono::steady_clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

std::vector<caller_target> standin_platform::targets() const
{
    std::vector<caller_target> targets;
    for (const auto& vm : m_vms) {
        targets.push_back({vm->host(), vm->callers_port()});
    }
    return targets;
}

} // namespace cranberrywood::tests
