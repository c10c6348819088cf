#include "process/vm_process.hpp"

#include "process/plain_socket.hpp"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <set>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>

extern char** environ;

namespace cranberrywood::tests {

namespace {

constexpr std::chrono::milliseconds poll_interval{10};
constexpr std::chrono::milliseconds ready_answer_time{500};
constexpr unsigned max_seeds = 3;

/** Ids of the processes that were started and not waited for. */
class process_ids
{
public:
    void add(pid_t id)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_ids.insert(id);
    }
    void remove(pid_t id)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_ids.erase(id);
    }
    void kill_all()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const pid_t id : m_ids) {
            ::kill(id, SIGKILL);
        }
    }

private:
    std::mutex m_mutex;
    std::set<pid_t> m_ids;
};

process_ids running_vms;

} // namespace

void end_all_vms()
{
    running_vms.kill_all();
}

vm_process::vm_process(const vm_origin& origin, unsigned index)
    : m_origin(origin), m_name("vm-" + std::to_string(index)),
      m_host(origin.network + "." + std::to_string(index + 1)),
      m_settings(origin.folder + "/" + m_name + ".ini"),
      m_log(origin.folder + "/" + m_name + ".log")
{
    write_settings();
}

vm_process::~vm_process()
{
    if (running()) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        running_vms.remove(m_pid);
    }
}

void vm_process::write_settings() const
{
    std::string seeds;
    for (unsigned i = 0; i < std::min(max_seeds, m_origin.vms); ++i) {
        seeds += (i == 0 ? "" : ",") + m_origin.network + "." +
                 std::to_string(i + 1) + ":" +
                 std::to_string(m_origin.ports.control);
    }
    const auto at = [&](std::uint16_t port) {
        return m_host + ":" + std::to_string(port) + "\n";
    };
    std::ofstream file(m_settings);
    file << "[vm]\nname = " << m_name
         << "\ndata_centre = dc-a\nhost = " << m_host
         << "\ndata_centres = dc-a\nfirst_start = true\n[listen]\n"
         << "callers = " << at(m_origin.ports.callers)
         << "ready = " << at(m_origin.ports.ready)
         << "control = " << at(m_origin.ports.control)
         << "[peers]\nports = " << m_origin.ports.peers << ","
         << m_origin.ports.peers + 15 << "\nseeds = " << seeds
         << "\n[store]\naddress = " << m_origin.store
         << "\n[stop]\nwithin_s = " << m_origin.stop_within.count() << "\n"
         << m_origin.more_settings;
}

void vm_process::start()
{
    m_status.reset();
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, m_log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    // The soak blocks signals that a VM must get.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    std::string program = m_origin.program;
    std::string option = "--settings";
    std::string settings = m_settings;
    char* arguments[] = {program.data(), option.data(), settings.data(),
                         nullptr};
    const int error = ::posix_spawn(&m_pid, program.c_str(), &actions,
                                    &attributes, arguments, environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        m_pid = -1;
        throw std::runtime_error(program + ": cannot be started");
    }
    running_vms.add(m_pid);
}

void vm_process::signal(int number)
{
    if (running()) {
        ::kill(m_pid, number);
    }
}

bool vm_process::running()
{
    return m_pid > 0 && !wait_for_end(std::chrono::milliseconds(0));
}

std::optional<int> vm_process::wait_for_end(std::chrono::milliseconds most)
{
    const auto until = std::chrono::steady_clock::now() + most;
    while (!m_status) {
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            running_vms.remove(m_pid);
            m_status =
                WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        } else if (std::chrono::steady_clock::now() >= until) {
            break;
        } else {
            std::this_thread::sleep_for(poll_interval);
        }
    }
    return m_status;
}

std::size_t vm_process::peak_memory_kb() const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    std::string word;
    std::size_t kb = 0;
    while (status >> word) {
        if (word == "VmHWM:") {
            status >> kb;
            break;
        }
    }
    return kb;
}

std::size_t vm_process::open_descriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator open(
        "/proc/" + std::to_string(m_pid) + "/fd", error);
    return error ? 0
                 : static_cast<std::size_t>(
                       std::distance(begin(open), end(open)));
}

bool vm_process::ready() const
{
    plain_socket connection(connect_to(m_host, m_origin.ports.ready));
    std::string answer;
    return connection.is_open() &&
           connection.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
           connection.read(answer, ready_answer_time) == read_end::bytes &&
           answer.compare(0, 12, "HTTP/1.1 200") == 0;
}

} // namespace cranberrywood::tests
