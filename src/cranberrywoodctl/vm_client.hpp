#ifndef CRANBERRYWOOD_CRANBERRYWOODCTL_VM_CLIENT_HPP
#define CRANBERRYWOOD_CRANBERRYWOODCTL_VM_CLIENT_HPP

#include <chrono>
#include <memory>
#include <string>
#include <variant>

namespace httplib {
class Client;
}

namespace cranberrywood::ctl {

/** Answer of a VM's HTTP front. */
struct vm_answer
{
    int status = 0;
    std::string body;
};

/** The VM could not be reached, or did not answer in time. */
struct vm_unreachable
{
    std::string vm;
    std::string why;
};

using vm_result = std::variant<vm_answer, vm_unreachable>;

/** HTTP client of one VM; keeps its connection. One thread at a time. */
class vm_client
{
public:
    /** Takes `http://host:port` or `host:port`. */
    vm_client(std::string vm, std::chrono::milliseconds timeout);
    ~vm_client();
    vm_client(vm_client&&) noexcept;
    vm_client& operator=(vm_client&&) noexcept;

    /** Gets a path. */
    vm_result get(const std::string& path);

    /** Posts JSON to a path, with a workspace's key unless it is empty. */
    vm_result post(const std::string& path, const std::string& key,
                   const std::string& body);

private:
    std::string m_vm;
    std::unique_ptr<httplib::Client> m_client;
};

} // namespace cranberrywood::ctl

#endif
