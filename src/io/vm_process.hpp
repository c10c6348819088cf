#ifndef CRANBERRYWOOD_IO_VM_PROCESS_HPP
#define CRANBERRYWOOD_IO_VM_PROCESS_HPP

#include "io/process_settings.hpp"

#include <chrono>
#include <memory>

namespace cranberrywood {

/**
 * One VM's process: the node with its actors, links, HTTP front and readers
 * of the platform. Also for programs that embed it.
 */
class vm_process
{
public:
    explicit vm_process(process_settings settings);
    ~vm_process();
    vm_process(const vm_process&) = delete;
    vm_process& operator=(const vm_process&) = delete;

    /** Starts to serve; returns false when the HTTP port is not free. */
    bool start();

    /** Asks the node to leave gracefully. */
    void request_leave();

    /** Waits, at most this long, for the node to have left. */
    bool wait_left(std::chrono::milliseconds limit);

    /** Finishes the answers under way and stops all threads. */
    void stop();

private:
    class parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace cranberrywood

#endif
