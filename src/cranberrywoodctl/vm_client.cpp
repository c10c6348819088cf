#include "cranberrywoodctl/vm_client.hpp"

#include <httplib.h>

namespace cranberrywood::ctl {

namespace {

std::string url_of(const std::string& vm)
{
    return vm.find("://") == std::string::npos ? "http://" + vm : vm;
}

vm_result to_result(const std::string& vm, const httplib::Result& result)
{
    if (!result) {
        return vm_unreachable{vm, httplib::to_string(result.error())};
    }
    return vm_answer{result->status, result->body};
}

} // namespace

vm_client::vm_client(std::string vm, std::chrono::milliseconds timeout)
    : m_vm(std::move(vm)),
      m_client(std::make_unique<httplib::Client>(url_of(m_vm)))
{
    m_client->set_keep_alive(true);
    m_client->set_tcp_nodelay(true);
    m_client->set_connection_timeout(timeout);
    m_client->set_read_timeout(timeout);
    m_client->set_write_timeout(timeout);
}

vm_client::~vm_client() = default;
vm_client::vm_client(vm_client&&) noexcept = default;
vm_client& vm_client::operator=(vm_client&&) noexcept = default;

vm_result vm_client::get(const std::string& path)
{
    return to_result(m_vm, m_client->Get(path));
}

vm_result vm_client::post(const std::string& path, const std::string& key,
                          const std::string& body)
{
    httplib::Headers headers;
    if (!key.empty()) {
        headers.emplace("X-Workspace-Key", key);
    }
    return to_result(m_vm,
                     m_client->Post(path, headers, body, "application/json"));
}

} // namespace cranberrywood::ctl
