// A request crashes each backend that runs it, some time after it began. Its
// client leaves before that and sends it again. Other clients go on.
#include "../standins-2/standin.hpp"

namespace {

using namespace review;

constexpr unsigned vm_count = 3;
constexpr unsigned backend_count = 8;
constexpr unsigned ordinary_clients = 8;
constexpr int work_ms = 90;
/** Time from the begin of the fatal request to the crash. */
constexpr int crash_after_ms = 250;
/** target_latency_ms is 400; clients leave within half of it. */
constexpr int leaves_after_ms = 150;
constexpr int again_after_ms = 2000;
constexpr int down_ms = 3000;
constexpr int calm_ms = 5000;
constexpr int play_ms = 45000;
constexpr double stable_window_s = 4.0;
constexpr unsigned allowed_retries = 3;

/** One backend, as a process of its own. */
int run_backend(const std::string& id, const std::string& host, int port,
                bool crashes)
{
    const int listening = listen_at(host, port);
    if (listening < 0) {
        return 2;
    }
    std::atomic<unsigned> stamps{0};
    while (true) {
        const int fd = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        std::thread([&, fd] {
            std::string input;
            message asked;
            while (read_message(fd, input, asked, 60000) == read_end::bytes) {
                const std::string request = asked.header("Request-Id");
                // One write, so that lines don't mix.
                const std::string line = "run " + id + " " + request + "\n";
                if (::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
                    ::_exit(1);
                }
                const bool fatal = asked.target() == "/lot/fatal";
                // This backend goes on when the connection closes.
                sleep_ms(fatal ? crash_after_ms : work_ms);
                if (fatal && crashes) {
                    ::_exit(70);
                }
                const std::string body = "body of " + request;
                if (!write_all(fd, "HTTP/1.1 200 OK\r\nRequest-Id: " + request +
                                       "\r\nResponse-Stamp: " + id + "." +
                                       std::to_string(++stamps) +
                                       "\r\nContent-Length: " +
                                       std::to_string(body.size()) +
                                       "\r\n\r\n" + body)) {
                    break;
                }
            }
            ::close(fd);
        }).detach();
    }
}

/** A backend process, with what it says on its standard output. */
struct backend_process
{
    std::string id;
    std::string host;
    int port = 0;
    pid_t pid = -1;
    int output = -1;
    std::string line;

    bool start(const std::string& program, bool crashes)
    {
        int ends[2];
        if (::pipe2(ends, O_CLOEXEC) != 0) {
            return false;
        }
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
        std::vector<std::string> words{
            program, "--backend",          id,
            host,    std::to_string(port), crashes ? "1" : "0"};
        std::vector<char*> arguments;
        for (std::string& word : words) {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        const int error = ::posix_spawn(&pid, program.c_str(), &actions,
                                        nullptr, arguments.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        ::close(ends[1]);
        if (output >= 0) {
            ::close(output);
        }
        output = ends[0];
        if (error == 0) {
            note_started(pid);
        }
        return error == 0;
    }
    std::string entry(unsigned long long born, unsigned sequence) const
    {
        return "{\"service\":\"desk\",\"address\":\"" + host + ":" +
               std::to_string(port) +
               "\",\"zone\":\"zone-a\",\"version\":\"v1\","
               "\"max_concurrency\":8,\"state\":\"ready\","
               "\"cold_remaining_ms\":0,\"sequence\":" +
               std::to_string(sequence) + ",\"born\":" + std::to_string(born) +
               "}";
    }
};

unsigned long long unix_ms()
{
    return static_cast<unsigned long long>(
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc == 6 && std::string(argv[1]) == "--backend") {
        return run_backend(argv[2], argv[3], std::atoi(argv[4]),
                           argv[5][0] == '1');
    }
    if (argc != 2) {
        return 2;
    }
    record_file record(argv[1]);
    const bool trouble = with_trouble();
    // For comparison: the client waits for its answer.
    const bool stays = std::getenv("STAYS") != nullptr;
    deployment all(vm_count);
    std::vector<backend_process> backends(backend_count);
    for (unsigned i = 0; i < backend_count; ++i) {
        backend_process& each = backends[i];
        each.id = "i-" + std::to_string(i);
        each.host = all.network + ".250";
        const int probe = listen_at(each.host, each.port);
        if (probe < 0) {
            all.finish(2);
        }
        ::close(probe);
        if (!each.start(argv[0], trouble)) {
            all.finish(2);
        }
        all.registry->put("servers/" + each.id, each.entry(unix_ms(), 1));
    }
    std::mutex mutex;
    std::set<std::string> arrived;
    std::vector<clock_type::time_point> crashes;
    std::atomic<bool> stopping{false};
    // Reads what backends say, and starts those again that have crashed.
    std::thread keeper([&] {
        std::map<unsigned, clock_type::time_point> down;
        while (!stopping) {
            std::vector<pollfd> polled;
            for (const backend_process& each : backends) {
                polled.push_back({each.output, POLLIN, 0});
            }
            ::poll(polled.data(), polled.size(), 10);
            for (unsigned i = 0; i < backend_count; ++i) {
                backend_process& each = backends[i];
                char buffer[4096];
                ssize_t size = 0;
                if ((polled[i].revents & POLLIN) != 0 &&
                    (size = ::read(each.output, buffer, sizeof buffer)) > 0) {
                    each.line.append(buffer, static_cast<std::size_t>(size));
                }
                for (std::size_t end = each.line.find('\n');
                     end != std::string::npos; end = each.line.find('\n')) {
                    const std::string id = each.line.substr(0, end).substr(
                        each.line.rfind(' ', end) + 1);
                    each.line.erase(0, end + 1);
                    const std::lock_guard<std::mutex> lock(mutex);
                    arrived.insert(id);
                    record.line("backend %s begins to run %s", each.id.c_str(),
                                id.c_str());
                }
                int status = 0;
                if (each.pid > 0 &&
                    ::waitpid(each.pid, &status, WNOHANG) == each.pid) {
                    note_ended(each.pid);
                    each.pid = -1;
                    const std::lock_guard<std::mutex> lock(mutex);
                    crashes.push_back(clock_type::now());
                    down[i] = clock_type::now();
                    record.line("backend %s has crashed", each.id.c_str());
                }
                if (each.pid < 0 &&
                    clock_type::now() - down[i] >= milliseconds(down_ms)) {
                    each.start(argv[0], trouble);
                    all.registry->put("servers/" + each.id,
                                      each.entry(unix_ms(), 1));
                    record.line("backend %s is back", each.id.c_str());
                }
            }
        }
    });
    all.registry->put(
        "op/config",
        configuration(3,
                      {{"lot", "/lot/", "idempotent", {"desk"}},
                       {"order", "/order/", "non_idempotent", {"desk"}}},
                      {"desk"}));
    int result = 2;
    std::vector<std::thread> threads;
    std::atomic<unsigned> served{0};
    std::atomic<unsigned> lost{0};
    if (all.start()) {
        for (unsigned c = 0; c < ordinary_clients; ++c) {
            threads.emplace_back([&, c] {
                for (unsigned n = 0; !stopping; ++n) {
                    const vm& to = *all.vms[(c + n) % vm_count];
                    const std::string id =
                        "o" + std::to_string(c) + "-" + std::to_string(n);
                    const int fd = connect_to(to.host(), to.callers());
                    std::string input;
                    message answer;
                    const bool answered =
                        fd >= 0 &&
                        write_all(fd, request_head(id, "/order/o", "POST",
                                                   "Content-Length: 0\r\n")) &&
                        read_message(fd, input, answer, 4000, true) ==
                            read_end::bytes;
                    if (fd >= 0) {
                        ::close(fd);
                    }
                    if (answered && answer.status() == 200) {
                        ++served;
                        continue;
                    }
                    const std::lock_guard<std::mutex> lock(mutex);
                    if (arrived.count(id) != 0) {
                        ++lost;
                        record.line("client %s: its order had begun to run; "
                                    "the client gets %s",
                                    id.c_str(),
                                    answered ? answer.first.c_str()
                                             : "no answer");
                    }
                }
            });
        }
        sleep_ms(calm_ms);
        std::vector<std::pair<std::string, clock_type::time_point>> sent;
        const auto until = clock_type::now() + milliseconds(play_ms);
        for (unsigned n = 0; clock_type::now() < until; ++n) {
            const vm& to = *all.vms[n % vm_count];
            const std::string id = "x" + std::to_string(n);
            const int fd = connect_to(to.host(), to.callers());
            sent.emplace_back(id, clock_type::now());
            std::string input;
            message answer;
            write_all(fd, request_head(id, "/lot/fatal"));
            const read_end end = read_message(
                fd, input, answer, stays ? 4000 : leaves_after_ms, true);
            ::close(fd);
            record.line("client %s at %s: %s", id.c_str(), to.name().c_str(),
                        end == read_end::bytes ? answer.first.c_str()
                                               : "has left");
            sleep_ms(again_after_ms);
        }
        sleep_ms(1000);
        const std::lock_guard<std::mutex> lock(mutex);
        unsigned retries = 0;
        if (crashes.size() >= 3) {
            const auto from =
                crashes[2] +
                std::chrono::duration_cast<clock_type::duration>(
                    std::chrono::duration<double>(stable_window_s));
            for (const auto& [id, at] : sent) {
                retries += at > from && arrived.count(id) != 0 ? 1 : 0;
            }
        }
        record.line("crashes %zu; of %zu sends of the request, %u reached "
                    "backends later than 4 s after the third crash; orders "
                    "served %u, begun and lost %u",
                    crashes.size(), sent.size(), retries, served.load(),
                    lost.load());
        result = served < 100                              ? 2
                 : trouble && crashes.size() < 3 && !stays ? 2
                 : retries > allowed_retries               ? 1
                                                           : 0;
    }
    stopping = true;
    keeper.join();
    for (auto& each : threads) {
        each.join();
    }
    all.finish(result);
}
