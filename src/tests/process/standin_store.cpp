#include "process/standin_store.hpp"

#include <chrono>
#include <nlohmann/json.hpp>
#include <sodium.h>

namespace cranberrywood::tests {

namespace {

using nlohmann::json;

/** Threads of the server; each VM holds two watches open. */
constexpr std::size_t server_threads = 160;
constexpr std::size_t max_calls_of_connection = 1000000;

std::string base64(const std::string& bytes)
{
    std::string text(
        sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL),
        '\0');
    sodium_bin2base64(text.data(), text.size(),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      bytes.size(), sodium_base64_VARIANT_ORIGINAL);
    text.resize(text.size() - 1);
    return text;
}

bool begins_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

// Bytes that are not UTF-8 are replaced, as JSON has no way to name them.
void reply(httplib::Response& response, const json& body)
{
    response.set_header("Store-Era", "1");
    response.set_content(
        body.dump(-1, ' ', false, json::error_handler_t::replace),
        "application/json");
}

} // namespace

standin_store::standin_store(const std::string& host, std::size_t page_items)
    : m_page_items(page_items)
{
    m_server.new_task_queue = [] {
        return new httplib::ThreadPool(server_threads);
    };
    m_server.set_keep_alive_max_count(max_calls_of_connection);
    m_server.set_tcp_nodelay(true);
    m_server.Get("/kv-range", [this](const auto& request, auto& response) {
        list(request, response);
    });
    m_server.Get("/kv-watch", [this](const auto& request, auto& response) {
        watch(request, response);
    });
    m_port = static_cast<std::uint16_t>(m_server.bind_to_any_port(host));
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
}

standin_store::~standin_store()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_server.stop();
    m_thread.join();
}

void standin_store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_items[key] = {value, ++m_revision, false};
    m_changed.notify_all();
}

void standin_store::remove(const std::string& key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_items[key] = {"", ++m_revision, true};
    m_changed.notify_all();
}

std::uint64_t standin_store::lists()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_lists;
}

void standin_store::list(const httplib::Request& request,
                         httplib::Response& response)
{
    const std::string prefix = request.get_param_value("prefix");
    const std::string after = request.get_param_value("after");
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_lists;
    json items = json::array();
    bool truncated = false;
    for (const auto& [key, kept] : m_items) {
        if (kept.removed || !begins_with(key, prefix) ||
            (!after.empty() && key <= after)) {
            continue;
        }
        if (items.size() == m_page_items) {
            truncated = true;
            break;
        }
        items.push_back({{"key", key},
                         {"value", base64(kept.value)},
                         {"revision", kept.revision},
                         {"created", kept.revision},
                         {"lease", 0}});
    }
    reply(response, {{"items", items},
                     {"truncated", truncated},
                     {"store_revision", m_revision}});
}

void standin_store::watch(const httplib::Request& request,
                          httplib::Response& response)
{
    const std::string prefix = request.get_param_value("prefix");
    const std::uint64_t after = std::stoull(request.get_param_value("after"));
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::milliseconds(
                           std::stoul(request.get_param_value("wait_ms")));
    std::unique_lock<std::mutex> lock(m_mutex);
    json events = json::array();
    while (!m_stopping) {
        for (const auto& [key, kept] : m_items) {
            if (kept.revision <= after || !begins_with(key, prefix)) {
                continue;
            }
            json event = {{"key", key}, {"revision", kept.revision}};
            if (kept.removed) {
                event["tombstone"] = true;
            } else {
                event["value"] = base64(kept.value);
            }
            events.push_back(event);
        }
        if (!events.empty() ||
            m_changed.wait_until(lock, until) == std::cv_status::timeout) {
            break;
        }
    }
    reply(response, {{"events", events}, {"store_revision", m_revision}});
}

} // namespace cranberrywood::tests
