#ifndef CRANBERRYWOOD_TESTS_PROCESS_VM_PROCESS_HPP
#define CRANBERRYWOOD_TESTS_PROCESS_VM_PROCESS_HPP

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace cranberrywood::tests {

/** Ports that all VMs of a run use, each on its own loopback address. */
struct vm_ports
{
    std::uint16_t callers = 0;
    std::uint16_t ready = 0;
    std::uint16_t control = 0;
    std::uint16_t peers = 0;
};

/** Where the VMs of a run find their program, their files and each other. */
struct vm_origin
{
    std::string program;
    /** Folder of settings files and logs. */
    std::string folder;
    /** First three parts of the VMs' addresses. */
    std::string network;
    std::string store;
    vm_ports ports;
    unsigned vms = 0;
    std::chrono::seconds stop_within{6};
    /** Further sections of the settings file. */
    std::string more_settings;
};

/** Kills every VM process that runs; for an end without destructors. */
void end_all_vms();

/** One process of the program under test; ended by id when it goes. */
class vm_process
{
public:
    vm_process(const vm_origin& origin, unsigned index);
    ~vm_process();
    vm_process(const vm_process&) = delete;
    vm_process& operator=(const vm_process&) = delete;

    void start();
    void signal(int number);
    /** Waits for the end; returns the exit status, negative for a signal. */
    std::optional<int> wait_for_end(std::chrono::milliseconds most);
    bool running();
    /** Asks whether the VM is ready. */
    bool ready() const;

    /** Returns the largest resident size so far, in KB; 0 once it has ended. */
    std::size_t peak_memory_kb() const;
    /** Returns how many descriptors the process has open. */
    std::size_t open_descriptors() const;

    const std::string& host() const
    {
        return m_host;
    }
    std::uint16_t callers_port() const
    {
        return m_origin.ports.callers;
    }
    const std::string& name() const
    {
        return m_name;
    }
    const std::string& log_file() const
    {
        return m_log;
    }

private:
    void write_settings() const;

    const vm_origin& m_origin;
    std::string m_name;
    std::string m_host;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
    std::optional<int> m_status;
};

} // namespace cranberrywood::tests

#endif
