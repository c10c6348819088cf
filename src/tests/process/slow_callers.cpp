#include "process/play.hpp"
#include "process/standin_platform.hpp"

#include "process/plain_socket.hpp"

#include <arpa/inet.h>
#include <fstream>
#include <functional>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cranberrywood::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr std::size_t memory_mb = 64;
/** Descriptors, once so few that they are met first, once so many that the
 * memory is. */
constexpr std::size_t few_files = 300;
constexpr std::size_t many_files = 2000;
/** Callers that hold memory; twice the limit and more if nothing stops them. */
constexpr unsigned answer_crowd = 150;
constexpr unsigned body_crowd = 600;
constexpr unsigned idle_crowd = 400;
constexpr std::size_t answer_bytes = 2UL * 1024 * 1024;
constexpr std::size_t max_body_bytes = 262144;
/** What a client may use without meeting a limit. */
constexpr std::size_t largest_answer = 4UL * 1024 * 1024;
constexpr unsigned kept_connections = 1000;
/** Time for which a crowd holds what it has. */
constexpr seconds held_time{4};
/** Time in which one of several tries of an ordinary request succeeds. */
constexpr seconds recovery_time{20};
constexpr milliseconds answer_wait{2500};

using crowd = std::vector<std::unique_ptr<plain_socket>>;
using crowd_maker = std::function<crowd(const vm_process&)>;

/** One behaviour of many callers at once. */
struct crowd_case
{
    const char* name;
    crowd_maker connect;
    /** Does what the crowd does between its start and its end. */
    std::function<void(crowd&)> linger;
};

/** Connects with a small receive window. */
int connect_with_small_window(const std::string& host, std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int size = 4096;
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

std::string request_head(const std::string& id, const std::string& target,
                         const std::string& more)
{
    return (more.empty() ? "GET " : "POST ") + target +
           " HTTP/1.1\r\nHost: lots.example\r\nRequest-Id: " + id +
           "\r\nRequest-Deadline: 2000\r\n" + more + "\r\n";
}

crowd of_size(unsigned size, const vm_process& vm,
              const std::function<std::string(const std::string& id)>& bytes)
{
    crowd all;
    for (unsigned i = 0; i < size; ++i) {
        all.push_back(std::make_unique<plain_socket>(
            connect_with_small_window(vm.host(), vm.callers_port())));
        const std::string text = bytes("slow" + std::to_string(i));
        if (all.back()->is_open() && !text.empty()) {
            all.back()->write_some(text);
        }
    }
    return all;
}

void wait(crowd& /*all*/)
{
    std::this_thread::sleep_for(held_time);
}

/** Writes on to all until the time is over. */
void write_on(crowd& all, const std::string& bytes)
{
    const auto until = steady_clock::now() + held_time;
    while (steady_clock::now() < until) {
        for (const auto& each : all) {
            each->write_some(bytes);
        }
        std::this_thread::sleep_for(milliseconds(10));
    }
}

/** Reads a byte of each ten times a second. */
void read_bytes(crowd& all)
{
    const auto until = steady_clock::now() + held_time;
    while (steady_clock::now() < until) {
        for (const auto& each : all) {
            each->read_byte();
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
}

std::vector<crowd_case> cases()
{
    const auto ask = [](const vm_process& vm) {
        return of_size(answer_crowd, vm, [](const std::string& id) {
            return request_head(id, "/lot/large", "");
        });
    };
    return {
        {"answers that nobody reads", ask, wait},
        {"answers read byte by byte", ask, read_bytes},
        {"bodies that lack a byte",
         [](const vm_process& vm) {
             return of_size(body_crowd, vm, [](const std::string& id) {
                 return request_head(id, "/lot/body",
                                     "Content-Length: " +
                                         std::to_string(max_body_bytes) +
                                         "\r\n") +
                        std::string(max_body_bytes - 1, 'x');
             });
         },
         wait},
        {"bodies without end",
         [](const vm_process& vm) {
             return of_size(body_crowd, vm, [](const std::string& id) {
                 return request_head(id, "/lot/body",
                                     "Transfer-Encoding: chunked\r\n");
             });
         },
         [](crowd& all) {
             write_on(all, "1000\r\n" + std::string(4096, 'x') + "\r\n");
         }},
        {"requests that are pipelined",
         [](const vm_process& vm) {
             return of_size(body_crowd, vm, [](const std::string& id) {
                 std::string bytes;
                 for (int i = 0; i < 400; ++i) {
                     bytes += request_head(id + "." + std::to_string(i),
                                           "/lot/late", "");
                 }
                 return bytes;
             });
         },
         wait},
        {"connections that are idle",
         [](const vm_process& vm) {
             return of_size(idle_crowd, vm,
                            [](const std::string&) { return std::string(); });
         },
         wait},
    };
}

server_reaction react(const std::string& server, const server_request& request)
{
    const bool largest = request.target == "/lot/largest";
    if (largest || request.target == "/lot/large") {
        const std::size_t size = largest ? largest_answer : answer_bytes;
        const std::string head = proper_answer(server, request);
        const std::string lines = head.substr(0, head.find("Content-Length"));
        return {milliseconds(1),
                lines + "Content-Length: " + std::to_string(size) + "\r\n\r\n" +
                    std::string(size, 'x'),
                false};
    }
    const milliseconds work(request.target == "/lot/late" ? 1000 : 1);
    return {work, proper_answer(server, request), false};
}

/** Asks until an ordinary request is answered; returns whether one was. */
bool ordinary_request_served(const vm_process& vm, std::string& seen)
{
    const auto until = steady_clock::now() + recovery_time;
    for (unsigned i = 0; steady_clock::now() < until; ++i) {
        plain_socket caller(connect_to(vm.host(), vm.callers_port()));
        const std::string id = "ordinary" + std::to_string(i);
        seen = "no answer";
        std::string answer;
        if (caller.is_open() &&
            caller.write(request_head(id, "/lot/small", "")) &&
            caller.read(answer, answer_wait) == read_end::bytes) {
            seen = answer.substr(0, answer.find("\r\n"));
            if (answer.compare(0, 12, "HTTP/1.1 200") == 0 &&
                answer.find("body of " + id + " ") != std::string::npos) {
                return true;
            }
        }
        std::this_thread::sleep_for(milliseconds(200));
    }
    return false;
}

void play_case(const play_plan& plan, const crowd_case& played,
               std::size_t open_files, play_report& report)
{
    platform_plan started{plan.program, plan.folder};
    started.vms = 1;
    started.max_body_bytes = max_body_bytes;
    started.more_settings =
        "[limits]\nmemory_mb = " + std::to_string(memory_mb) +
        "\nopen_files = " + std::to_string(open_files) + "\n";
    standin_platform platform(started, react);
    const std::string name =
        std::string(played.name) + ", files " + std::to_string(open_files);
    report.check(platform.start_ready(), "READY", name + ": not ready");
    vm_process& vm = *platform.vms().front();
    std::string seen;
    // The crowd is alone: what it meets is the limits and no start.
    report.check(ordinary_request_served(vm, seen), "SERVES",
                 name + ": before the crowd: " + seen);
    std::size_t most_descriptors = 0;
    {
        crowd all = played.connect(vm);
        most_descriptors = vm.open_descriptors();
        played.linger(all);
        most_descriptors = std::max(most_descriptors, vm.open_descriptors());
        report.check(ordinary_request_served(vm, seen), "SERVES",
                     name + ": beside the crowd: " + seen);
    }
    report.check(vm.running(), "LIVES", name + ": the process has ended");
    const std::size_t peak_mb = vm.peak_memory_kb() / 1024;
    report.counts["peak MB, " + name] = peak_mb;
    report.counts["descriptors, " + name] = most_descriptors;
    report.check(peak_mb > 0 && peak_mb <= memory_mb * plan.memory_factor,
                 "MEMORY",
                 name + ": " + std::to_string(peak_mb) + " of " +
                     std::to_string(memory_mb) + " MB");
    report.check(most_descriptors <= open_files, "DESCRIPTORS",
                 name + ": " + std::to_string(most_descriptors) + " of " +
                     std::to_string(open_files));
    report.check(ordinary_request_served(vm, seen), "SERVES",
                 name + ": after the crowd: " + seen);
}

/** Exchanges a request on a connection; returns the status line. */
std::string exchange(plain_socket& caller, const std::string& request,
                     std::size_t body_bytes)
{
    std::string answer;
    if (!caller.is_open() || !caller.write(request)) {
        return "not sent";
    }
    const auto whole = [&] {
        const std::size_t head = answer.find("\r\n\r\n");
        return head != std::string::npos &&
               answer.size() >= head + 4 + body_bytes;
    };
    while (!whole()) {
        if (caller.read(answer, answer_wait) != read_end::bytes) {
            return "cut after " + std::to_string(answer.size()) + " bytes";
        }
    }
    return answer.substr(0, answer.find("\r\n"));
}

// Guards against limits that a client meets that keeps to those of the
// configuration, on the smallest VM of a deployment.
void play_client_within_limits(const play_plan& plan, play_report& report)
{
    platform_plan started{plan.program, plan.folder};
    started.vms = 1;
    started.max_body_bytes = max_body_bytes;
    started.more_settings = "[limits]\nmemory_mb = 160\nopen_files = 4100\n";
    standin_platform platform(started, react);
    report.check(platform.start_ready(), "READY", "within limits: not ready");
    vm_process& vm = *platform.vms().front();
    crowd kept = of_size(kept_connections, vm,
                         [](const std::string&) { return std::string(); });
    unsigned number = 0;
    const auto ask = [&](plain_socket& caller, const std::string& target,
                         const std::string& body, std::size_t answer) {
        const std::string id = "within" + std::to_string(++number);
        const std::string length =
            "Content-Length: " + std::to_string(body.size()) + "\r\n";
        const std::string status = exchange(
            caller, request_head(id, target, body.empty() ? "" : length) + body,
            answer);
        report.check(status == "HTTP/1.1 200 OK", "WITHIN",
                     id + " " + target + ": " + status);
    };
    for (const auto& each : kept) {
        ask(*each, "/lot/small", "", 1);
    }
    plain_socket caller(connect_to(vm.host(), vm.callers_port()));
    for (int i = 0; i < 20; ++i) {
        ask(caller, "/lot/largest", "", largest_answer);
        ask(caller, "/lot/body", std::string(max_body_bytes, 'x'), 1);
    }
    for (const auto& each : kept) {
        ask(*each, "/lot/small", "", 1);
    }
    std::ifstream log(vm.log_file());
    for (std::string line; std::getline(log, line);) {
        const bool limited = line.find(" CW1807 ") != std::string::npos ||
                             line.find(" CW1808 ") != std::string::npos;
        report.check(!limited, "WITHIN", line);
    }
    report.counts["peak MB, client within limits"] = vm.peak_memory_kb() / 1024;
}

} // namespace

// Guards against callers that hold the VM's memory or descriptors until the
// process is killed or accepts nobody.
play_report play_slow_callers(const play_plan& plan)
{
    play_report report;
    // First, as all processes of a run write to the same log.
    play_client_within_limits(plan, report);
    for (const crowd_case& played : cases()) {
        play_case(plan, played, few_files, report);
        play_case(plan, played, many_files, report);
    }
    return report;
}

} // namespace cranberrywood::tests
