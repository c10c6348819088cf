#ifndef CRANBERRYWOOD_TESTS_PROCESS_STANDIN_PLATFORM_HPP
#define CRANBERRYWOOD_TESTS_PROCESS_STANDIN_PLATFORM_HPP

#include "process/caller.hpp"
#include "process/standin_server.hpp"
#include "process/standin_store.hpp"
#include "process/vm_process.hpp"

#include <memory>

namespace cranberrywood::tests {

/** What a run starts. */
struct platform_plan
{
    std::string program;
    std::string folder;
    unsigned vms = 3;
    unsigned servers_of_service = 4;
    /** Items of one page of the store's lists. */
    std::size_t page_items = 500;
    std::chrono::seconds stop_within{6};
    std::uint64_t max_body_bytes = 65536;
    /** Further sections of the VMs' settings files. */
    std::string more_settings{};
};

/**
 * A store, the backend servers of two services and the VM processes of one run
 * on loopback. Service `desk` answers repeatable requests at /lot/ and others
 * at /order/; service `odd` answers at /odd/.
 */
class standin_platform
{
public:
    standin_platform(const platform_plan& plan,
                     standin_server::behaviour react);

    standin_store& store()
    {
        return *m_store;
    }
    exchange_record& record()
    {
        return m_record;
    }
    std::vector<std::unique_ptr<vm_process>>& vms()
    {
        return m_vms;
    }
    /** Starts all VMs. */
    void start_vms();
    /** Starts all VMs and waits; returns whether all got ready in time. */
    bool start_ready();
    /** Waits until as many VMs are ready; returns whether they were. */
    bool wait_ready(std::size_t vms, std::chrono::milliseconds most) const;
    std::size_t ready_vms() const;
    /** Returns an entry as the first server of the service `desk` writes it. */
    std::string proper_entry() const;
    std::vector<caller_target> targets() const;

private:
    void write_configuration(std::uint64_t max_body_bytes);
    void write_entries();
    std::string entry_of(const std::string& service, std::uint16_t port) const;

    exchange_record m_record;
    std::unique_ptr<standin_store> m_store;
    std::vector<std::unique_ptr<standin_server>> m_desk;
    std::vector<std::unique_ptr<standin_server>> m_odd;
    std::string m_server_host;
    vm_origin m_origin;
    std::vector<std::unique_ptr<vm_process>> m_vms;
};

} // namespace cranberrywood::tests

#endif
