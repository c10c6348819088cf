#include "tests/standins/platform_service.hpp"

namespace cranberrywood::standins {

namespace {

constexpr std::size_t http_threads = 64;
constexpr auto folder_interval = std::chrono::milliseconds(100);
constexpr auto slow_answer = std::chrono::milliseconds(1500);
constexpr std::uint64_t longest_watch_ms = 30'000;
constexpr const char* json_type = "application/json";

std::uint64_t parameter(const httplib::Request& from, const char* name)
{
    const std::string value = from.get_param_value(name);
    return value.empty() ? 0 : std::strtoull(value.c_str(), nullptr, 10);
}

nlohmann::json to_json(const published_value& value)
{
    nlohmann::json overlays = nlohmann::json::array();
    for (const published_overlay& overlay : value.overlays) {
        overlays.push_back({{"site", overlay.site}, {"text", overlay.text}});
    }
    return {{"revision", value.revision.value()},
            {"base", value.base},
            {"overlays", overlays}};
}

nlohmann::json to_json(const server_counts& counts)
{
    return {{"runs", counts.runs},
            {"completed", counts.completed},
            {"shed", counts.shed},
            {"cancelled", counts.cancelled},
            {"late", counts.late},
            {"fall_overs", counts.fall_overs},
            {"crashes", counts.crashes},
            {"refused_connections", counts.refused_connections},
            {"peak_running", counts.peak_running},
            {"peak_connections", counts.peak_connections}};
}

} // namespace

platform_service::platform_service(const standin_settings& settings,
                                   std::vector<std::string> vms,
                                   std::shared_ptr<counter_board> board,
                                   order_sink orders)
    : m_settings(settings), m_board(std::move(board)),
      m_orders(std::move(orders)), m_folder(settings.folder),
      m_served(m_folder.value())
{
    for (std::string& name : vms) {
        m_vms.push_back({std::move(name), true, false});
    }
    m_served_list = list_json();
    m_server.new_task_queue = [] {
        return new httplib::ThreadPool(http_threads);
    };
    add_platform_routes();
    add_control_routes();
    m_folder_thread = std::thread([this] { watch_folder(); });
}

platform_service::~platform_service()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_server.stop();
    if (m_server_thread.joinable()) {
        m_server_thread.join();
    }
    m_folder_thread.join();
}

bool platform_service::start()
{
    if (!m_server.bind_to_port(m_settings.host, m_settings.port)) {
        return false;
    }
    m_server_thread = std::thread([this] { m_server.listen_after_bind(); });
    return true;
}

void platform_service::add_platform_routes()
{
    m_server.Get("/v1/configuration", [this](const request& from, reply& to) {
        serve_configuration(from, to);
    });
    m_server.Get("/v1/vms",
                 [this](const request&, reply& to) { serve_list(to); });
}

void platform_service::add_control_routes()
{
    m_server.Post("/control/mode", [this](const request& from, reply& to) {
        set_mode(from, to);
    });
    m_server.Post("/control/vm",
                  [this](const request& from, reply& to) { set_vm(from, to); });
    m_server.Post("/control/server", [this](const request& from, reply& to) {
        order_server(from, to);
    });
    m_server.Get("/counters",
                 [this](const request&, reply& to) { serve_counters(to); });
}

void platform_service::serve_configuration(const request& from, reply& to)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    ++m_reads;
    if (m_mode == service_mode::down) {
        to.status = 503;
        return;
    }
    if (m_mode == service_mode::slow) {
        m_changed.wait_for(lock, slow_answer, [this] { return m_stopping; });
    }
    const revision_number newer_than(parameter(from, "newer_than"));
    const std::chrono::milliseconds wait(
        std::min(parameter(from, "wait_ms"), longest_watch_ms));
    const bool newer = m_changed.wait_for(lock, wait, [&] {
        return m_stopping || m_served.revision > newer_than;
    });
    if (!newer || m_stopping) {
        to.status = 304;
        return;
    }
    to.set_content(to_json(m_served).dump(), json_type);
}

void platform_service::serve_list(reply& to)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_reads;
    const auto now = std::chrono::steady_clock::now();
    while (!m_lists.empty() && m_lists.front().first <= now) {
        m_served_list = std::move(m_lists.front().second);
        m_lists.pop_front();
    }
    if (m_mode == service_mode::down) {
        to.status = 503;
        return;
    }
    to.set_content(m_served_list.dump(), json_type);
}

platform_service::json platform_service::list_json() const
{
    json vms = json::array();
    for (const listed& vm : m_vms) {
        if (vm.present) {
            vms.push_back({{"name", vm.name}, {"leaving", vm.leaving}});
        }
    }
    return {{"version", m_list_version}, {"vms", vms}};
}

void platform_service::set_mode(const request& from, reply& to)
{
    static const std::map<std::string, service_mode> modes = {
        {"normal", service_mode::normal},
        {"stale", service_mode::stale},
        {"slow", service_mode::slow},
        {"down", service_mode::down}};
    const auto mode = modes.find(from.get_param_value("mode"));
    if (mode == modes.end()) {
        to.status = 400;
        return;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_mode = mode->second;
}

void platform_service::set_vm(const request& from, reply& to)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::string name = from.get_param_value("name");
    const auto vm =
        std::find_if(m_vms.begin(), m_vms.end(),
                     [&](const listed& l) { return l.name == name; });
    if (vm == m_vms.end()) {
        to.status = 404;
        return;
    }
    vm->leaving = parameter(from, "leaving") != 0;
    vm->present = parameter(from, "gone") == 0;
    ++m_list_version;
    const auto served_at =
        std::chrono::steady_clock::now() +
        std::chrono::duration_cast<std::chrono::milliseconds>(
            m_settings.list_lag);
    m_lists.emplace_back(served_at, list_json());
}

void platform_service::order_server(const request& from, reply& to)
{
    static const std::map<std::string, server_order> orders = {
        {"drain", server_order::drain},
        {"undrain", server_order::undrain},
        {"kill", server_order::kill},
        {"versions", server_order::hold_versions}};
    const auto order = orders.find(from.get_param_value("order"));
    if (order == orders.end()) {
        to.status = 400;
        return;
    }
    m_orders({from.get_param_value("server"), order->second,
              index_version(parameter(from, "oldest")),
              index_version(parameter(from, "newest"))});
}

void platform_service::serve_counters(reply& to) const
{
    json servers = json::object();
    for (const auto& [name, counts] : m_board->servers()) {
        servers[name] = to_json(counts);
    }
    const json body{{"servers", servers}, {"runs_by_body", m_board->runs()}};
    to.set_content(body.dump(-1, ' ', false, json::error_handler_t::replace),
                   json_type);
}

void platform_service::watch_folder()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        m_changed.wait_for(lock, folder_interval,
                           [this] { return m_stopping; });
        m_folder.refresh();
        const bool newer = m_folder.value().revision > m_served.revision;
        if (newer && m_mode != service_mode::stale) {
            m_served = m_folder.value();
            m_changed.notify_all();
        }
    }
}

} // namespace cranberrywood::standins
