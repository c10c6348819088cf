// Stand-ins for the platform's store, for backend servers and for clients, and
// a holder of VM processes. All of it is on loopback addresses and real time.
#ifndef REVIEW_STANDIN_HPP
#define REVIEW_STANDIN_HPP

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <spawn.h>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

extern char** environ;

namespace review {

using std::chrono::milliseconds;
using clock_type = std::chrono::steady_clock;

/** record.txt: what was sent, answered and run. */
class record_file
{
public:
    explicit record_file(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w")), m_start(clock_type::now())
    {
    }
    ~record_file()
    {
        std::fclose(m_file);
    }
    record_file(const record_file&) = delete;
    record_file& operator=(const record_file&) = delete;
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::chrono::duration<double> at = clock_type::now() - m_start;
        std::fprintf(m_file, "%8.3f ", at.count());
        va_list list;
        va_start(list, format);
        std::vfprintf(m_file, format, list);
        va_end(list);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::FILE* m_file;
    std::mutex m_mutex;
    clock_type::time_point m_start;
};

inline void sleep_ms(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

inline sockaddr_in address_of(const std::string& host, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

/** Connects; -1 if that fails within the time. */
inline int connect_to(const std::string& host, int port, int wait_ms = 1000)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = address_of(host, port);
    const int flags = ::fcntl(fd, F_GETFL);
    ::fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        pollfd p{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&p, 1, wait_ms) != 1 ||
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
            error != 0) {
            ::close(fd);
            return -1;
        }
    }
    ::fcntl(fd, F_SETFL, flags);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

/** Listens; a port of 0 is replaced by the one that was given out. */
inline int listen_at(const std::string& host, int& port, int receive_buffer = 0)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (receive_buffer > 0) {
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof receive_buffer);
    }
    sockaddr_in at = address_of(host, port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(fd, 1024) != 0) {
        ::close(fd);
        return -1;
    }
    socklen_t size = sizeof at;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
    return fd;
}

/** Writes all; false if the peer is gone. */
inline bool write_all(int fd, const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t n =
            ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(n);
    }
    return true;
}

/** Ends a connection with a reset. */
inline void reset(int fd)
{
    const linger now{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::close(fd);
}

enum class read_end
{
    bytes,
    nothing,
    closed,
    reset
};

inline read_end read_some(int fd, std::string& to, int wait_ms)
{
    pollfd p{fd, POLLIN, 0};
    if (::poll(&p, 1, wait_ms) != 1) {
        return read_end::nothing;
    }
    char buffer[65536];
    const ssize_t n = ::recv(fd, buffer, sizeof buffer, 0);
    if (n > 0) {
        to.append(buffer, static_cast<std::size_t>(n));
        return read_end::bytes;
    }
    return n == 0 ? read_end::closed : read_end::reset;
}

/** One HTTP message. */
struct message
{
    std::string first;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /** No header names a length: the body ends with the connection. */
    bool open_end = false;

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return "";
    }
    std::string method() const
    {
        return first.substr(0, first.find(' '));
    }
    std::string target() const
    {
        const std::size_t at = first.find(' ') + 1;
        return first.substr(at, first.find(' ', at) - at);
    }
    int status() const
    {
        return first.size() < 12 ? 0 : std::atoi(first.c_str() + 9);
    }
};

/** Parses a head; false if it is not complete. Removes it from the input. */
inline bool take_head(std::string& input, message& to)
{
    const std::size_t end = input.find("\r\n\r\n");
    if (end == std::string::npos) {
        return false;
    }
    std::istringstream lines(input.substr(0, end + 2));
    input.erase(0, end + 4);
    to = message();
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (to.first.empty()) {
            to.first = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::size_t at = colon + 1;
            while (at < line.size() && line[at] == ' ') {
                ++at;
            }
            to.headers.emplace_back(line.substr(0, colon), line.substr(at));
        }
    }
    return true;
}

/** Reads a message; `closed` or `reset` if the connection ends before it. */
inline read_end read_message(int fd, std::string& input, message& to,
                             int wait_ms, bool is_answer = false)
{
    const auto until = clock_type::now() + milliseconds(wait_ms);
    const auto more = [&]() {
        const auto left =
            std::chrono::duration_cast<milliseconds>(until - clock_type::now());
        return read_some(fd, input,
                         static_cast<int>(std::max<long>(0, left.count())));
    };
    while (!take_head(input, to)) {
        const read_end end = more();
        if (end != read_end::bytes) {
            return end;
        }
    }
    const std::string length = to.header("Content-Length");
    if (is_answer && length.empty()) {
        to.open_end = true;
        read_end end = read_end::bytes;
        while ((end = more()) == read_end::bytes) {
        }
        to.body = std::move(input);
        input.clear();
        return end == read_end::closed ? read_end::bytes : end;
    }
    const std::size_t size =
        length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
    while (input.size() < size) {
        const read_end end = more();
        if (end != read_end::bytes) {
            to.body = input;
            return end;
        }
    }
    to.body = input.substr(0, size);
    input.erase(0, size);
    return read_end::bytes;
}

/** Accepts connections and serves each in a thread of its own. */
class listener
{
public:
    using server = std::function<void(int fd)>;

    listener(const std::string& host, server serve, int receive_buffer = 0)
        : m_serve(std::move(serve))
    {
        m_fd = listen_at(host, m_port, receive_buffer);
        m_thread = std::thread([this] { accept_all(); });
    }
    ~listener()
    {
        m_stopping = true;
        ::shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        ::close(m_fd);
    }
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    int port() const
    {
        return m_port;
    }

private:
    void accept_all()
    {
        while (!m_stopping) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            // Threads end with the process: a run is short.
            std::thread([serve = m_serve, fd] { serve(fd); }).detach();
        }
    }

    server m_serve;
    int m_port = 0;
    int m_fd = -1;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

inline std::string base64(const std::string& bytes)
{
    static const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t three = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            three =
                three << 8U |
                (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                      : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j > bytes.size()
                        ? '='
                        : digits[three >> (18U - 6U * j) & 63U];
        }
    }
    return text;
}

inline std::string query_value(const std::string& target,
                               const std::string& name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, end - at - 1);
        if (pair.compare(0, name.size() + 1, name + "=") == 0) {
            std::string value;
            for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
                if (pair[i] == '%' && i + 2 < pair.size()) {
                    value += static_cast<char>(std::strtol(
                        pair.substr(i + 1, 2).c_str(), nullptr, 16));
                    i += 2;
                } else {
                    value += pair[i];
                }
            }
            return value;
        }
        at = end;
    }
    return "";
}

/** The platform's metadata store, as far as it is read. */
class store
{
public:
    explicit store(const std::string& host)
        : m_listener(host, [this](int fd) { serve(fd); })
    {
    }
    int port() const
    {
        return m_listener.port();
    }
    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_items[key] = {value, ++m_revision, false};
        m_changed.notify_all();
    }
    void remove(const std::string& key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_items[key] = {"", ++m_revision, true};
        m_changed.notify_all();
    }

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
    };

    static std::string json_of(const std::string& key, const item& kept)
    {
        std::string text = "{\"key\":\"" + key +
                           "\",\"revision\":" + std::to_string(kept.revision) +
                           ",\"created\":" + std::to_string(kept.revision) +
                           ",\"lease\":0";
        text += kept.removed ? ",\"tombstone\":true"
                             : ",\"value\":\"" + base64(kept.value) + "\"";
        return text + "}";
    }
    static bool begins(const std::string& key, const std::string& prefix)
    {
        return key.compare(0, prefix.size(), prefix) == 0;
    }
    std::string list(const std::string& target)
    {
        const std::string prefix = query_value(target, "prefix");
        const std::string after = query_value(target, "after");
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::string items;
        for (const auto& [key, kept] : m_items) {
            if (!kept.removed && begins(key, prefix) &&
                (after.empty() || key > after)) {
                items += (items.empty() ? "" : ",") + json_of(key, kept);
            }
        }
        return "{\"items\":[" + items + "],\"truncated\":false," +
               "\"store_revision\":" + std::to_string(m_revision) + "}";
    }
    std::string watch(const std::string& target)
    {
        const std::string prefix = query_value(target, "prefix");
        const std::uint64_t after =
            std::strtoull(query_value(target, "after").c_str(), nullptr, 10);
        const auto until =
            clock_type::now() +
            milliseconds(std::atoi(query_value(target, "wait_ms").c_str()));
        std::unique_lock<std::mutex> lock(m_mutex);
        std::string events;
        while (true) {
            for (const auto& [key, kept] : m_items) {
                if (kept.revision > after && begins(key, prefix)) {
                    events += (events.empty() ? "" : ",") + json_of(key, kept);
                }
            }
            if (!events.empty() ||
                m_changed.wait_until(lock, until) == std::cv_status::timeout) {
                break;
            }
        }
        return "{\"events\":[" + events +
               "],\"store_revision\":" + std::to_string(m_revision) + "}";
    }
    void serve(int fd)
    {
        std::string input;
        message asked;
        while (read_message(fd, input, asked, 60000) == read_end::bytes) {
            const std::string target = asked.target();
            const bool watches = begins(target, "/kv-watch");
            const std::string body = watches ? watch(target) : list(target);
            if (!write_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: "
                               "application/json\r\nStore-Era: 1\r\n"
                               "Content-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" +
                                   body)) {
                break;
            }
        }
        ::close(fd);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::uint64_t m_revision = 10;
    listener m_listener;
};

/** A backend server: one request at a time on a connection. */
class backend
{
public:
    /** Serves one request; false closes the connection. */
    using behaviour = std::function<bool(
        backend& self, int fd, const message& head, std::string& input)>;

    backend(std::string id, std::string service, const std::string& host,
            behaviour react, int receive_buffer = 0)
        : m_id(std::move(id)), m_service(std::move(service)), m_host(host),
          m_react(std::move(react)),
          m_listener(
              host, [this](int fd) { serve(fd); }, receive_buffer)
    {
    }
    const std::string& id() const
    {
        return m_id;
    }
    int port() const
    {
        return m_listener.port();
    }
    std::string stamp() const
    {
        return m_id + "." + std::to_string(++m_stamps);
    }
    std::string entry(const std::string& state = "ready",
                      unsigned sequence = 1) const
    {
        return "{\"service\":\"" + m_service + "\",\"address\":\"" + m_host +
               ":" + std::to_string(port()) +
               "\",\"zone\":\"zone-a\",\"version\":\"v1\","
               "\"max_concurrency\":8,\"state\":\"" +
               state + "\",\"cold_remaining_ms\":0,\"sequence\":" +
               std::to_string(sequence) + ",\"born\":1767522870000}";
    }
    /** Writes a whole success. */
    bool answer(int fd, const message& asked, const std::string& body) const
    {
        return write_all(
            fd, "HTTP/1.1 200 OK\r\nRequest-Id: " + asked.header("Request-Id") +
                    "\r\nResponse-Stamp: " + stamp() + "\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
    }

private:
    void serve(int fd)
    {
        std::string input;
        while (true) {
            message head;
            bool ended = false;
            while (!take_head(input, head)) {
                const read_end end = read_some(fd, input, 60000);
                if (end != read_end::bytes) {
                    ended = true;
                    break;
                }
            }
            if (ended) {
                break;
            }
            if (head.target() == "/health") {
                if (!write_all(fd, "HTTP/1.1 200 OK\r\nInstance-Id: " + m_id +
                                       "\r\nContent-Length: 0\r\n\r\n")) {
                    break;
                }
                continue;
            }
            if (!m_react(*this, fd, head, input)) {
                // The behaviour has closed the connection.
                return;
            }
        }
        ::close(fd);
    }

    std::string m_id;
    std::string m_service;
    std::string m_host;
    behaviour m_react;
    mutable std::atomic<unsigned> m_stamps{0};
    listener m_listener;
};

/** Reads the body of a request whose head was read. */
inline bool read_body(int fd, const message& head, std::string& input,
                      std::string& body)
{
    const std::size_t size =
        std::strtoull(head.header("Content-Length").c_str(), nullptr, 10);
    while (input.size() < size) {
        if (read_some(fd, input, 20000) != read_end::bytes) {
            return false;
        }
    }
    body = input.substr(0, size);
    input.erase(0, size);
    return true;
}

/** A route of the configuration. */
struct route
{
    std::string name;
    std::string prefix;
    std::string type;
    /** One service, or several of a gather. */
    std::vector<std::string> services;
    double min_shard_share = 0.0;
    int timeout_ms = 2000;
    int max_attempts = 2;
    int target_latency_ms = 400;
};

struct tenant
{
    std::string name;
    std::string key;
    double rate = 0;
    double burst = 0;
};

inline std::string configuration(unsigned version,
                                 const std::vector<route>& routes,
                                 const std::vector<std::string>& services,
                                 const std::vector<tenant>& tenants = {},
                                 std::size_t max_body = 262144)
{
    std::string text =
        "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (const route& r : routes) {
        text += (&r == &routes.front() ? "" : ",");
        text += "{\"name\":\"" + r.name +
                "\",\"host\":\"shop.example\",\"prefix\":\"" + r.prefix +
                "\",\"route_type\":\"" + r.type + "\",";
        if (r.services.size() == 1) {
            text += "\"service\":\"" + r.services.front() + "\",";
        } else {
            text += "\"gather\":[";
            for (const auto& s : r.services) {
                text += (&s == &r.services.front() ? "\"" : ",\"") + s + "\"";
            }
            text += "],\"top_k\":20,\"min_shard_share\":" +
                    std::to_string(r.min_shard_share) + ",";
        }
        text +=
            "\"max_attempts\":" + std::to_string(r.max_attempts) +
            ",\"timeout_ms\":" + std::to_string(r.timeout_ms) +
            ",\"target_latency_ms\":" + std::to_string(r.target_latency_ms) +
            ",\"priority\":1}";
    }
    text += "],\"services\":[";
    for (const auto& s : services) {
        text += (&s == &services.front() ? "" : ",");
        text += "{\"name\":\"" + s +
                "\",\"health_path\":\"/health\",\"max_connections\":400,"
                "\"cold_start_s\":3,\"cold_per_s\":20}";
    }
    text += "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" +
            std::to_string(max_body) +
            ",\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000},"
            "\"tenants\":[";
    for (const tenant& t : tenants) {
        text += (&t == &tenants.front() ? "" : ",");
        text += "{\"name\":\"" + t.name + "\",\"api_keys\":[\"" + t.key +
                "\"],\"rate_per_s\":" + std::to_string(t.rate) +
                ",\"burst\":" + std::to_string(t.burst) + "}";
    }
    return text + "]}";
}

/** Ids of the processes that were started; 0 where there is none. */
inline std::atomic<pid_t> started_processes[64];

inline void note_started(pid_t pid)
{
    for (auto& each : started_processes) {
        pid_t none = 0;
        if (each.compare_exchange_strong(none, pid)) {
            return;
        }
    }
}

inline void note_ended(pid_t pid)
{
    for (auto& each : started_processes) {
        pid_t known = pid;
        each.compare_exchange_strong(known, 0);
    }
}

inline void kill_started()
{
    for (auto& each : started_processes) {
        if (each != 0) {
            ::kill(each, SIGKILL);
        }
    }
}

/** Ends what was started if this process is told to end. */
inline void end_early(int /*signal*/)
{
    kill_started();
    ::_exit(2);
}

/** One process of the program under test. */
class vm
{
public:
    vm(std::string program, std::string folder, std::string network,
       unsigned index, unsigned vms, std::string store, int port_base)
        : m_program(std::move(program)), m_folder(std::move(folder)),
          m_host(network + "." + std::to_string(index + 1)),
          m_port_base(port_base), m_name("vm-" + std::to_string(index))
    {
        std::string seeds;
        for (unsigned i = 0; i < vms && i < 3; ++i) {
            seeds += (i == 0 ? "" : ",") + network + "." +
                     std::to_string(i + 1) + ":" + std::to_string(port_base);
        }
        std::ostringstream file;
        file << "[vm]\nname = " << m_name
             << "\ndata_centre = zone-a\nhost = " << m_host
             << "\ndata_centres = zone-a\nfirst_start = true\n[listen]\n"
             << "callers = " << m_host << ":" << callers()
             << "\nready = " << m_host << ":" << port_base + 4
             << "\ncontrol = " << m_host << ":" << port_base
             << "\n[peers]\nports = " << port_base + 20 << "," << port_base + 35
             << "\nseeds = " << seeds << "\n[store]\naddress = " << store
             << "\n[extra_sends]\nshare = 0.2\nsaved = 54\n[stop]\n"
             << "within_s = 6\n[limits]\nmemory_mb = 260\nopen_files = 4100\n";
        m_settings = file.str();
    }
    ~vm()
    {
        if (running()) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
            note_ended(m_pid);
        }
    }
    vm(const vm&) = delete;
    vm& operator=(const vm&) = delete;

    bool start()
    {
        m_status = 0;
        m_ended = false;
        std::ofstream(m_folder + "/" + m_name + ".ini") << m_settings;
        // The system starts for the first time only once.
        const std::string first = "first_start = true\n";
        const std::size_t at = m_settings.find(first);
        if (at != std::string::npos) {
            m_settings.erase(at, first.size());
        }
        const std::string log = m_folder + "/" + m_name + ".log";
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 1, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        std::vector<std::string> variables{"CRANBERRYWOOD_CONFIG=" + m_folder +
                                           "/" + m_name + ".ini"};
        for (char** each = environ; *each != nullptr; ++each) {
            variables.emplace_back(*each);
        }
        std::vector<char*> environment;
        for (std::string& each : variables) {
            environment.push_back(each.data());
        }
        environment.push_back(nullptr);
        std::string program = m_program;
        char* arguments[] = {program.data(), nullptr};
        pid_t pid = -1;
        const int error = ::posix_spawn(&pid, program.c_str(), &actions,
                                        nullptr, arguments, environment.data());
        m_pid = pid;
        if (error == 0) {
            note_started(pid);
        }
        posix_spawn_file_actions_destroy(&actions);
        return error == 0;
    }
    void signal(int number)
    {
        if (running()) {
            ::kill(m_pid, number);
        }
    }
    bool running()
    {
        if (m_pid <= 0 || m_ended) {
            return false;
        }
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            note_ended(m_pid);
            m_ended = true;
            m_status = status;
        }
        return !m_ended;
    }
    /** How the process ended. */
    std::string end()
    {
        if (running()) {
            return "runs";
        }
        return WIFSIGNALED(m_status)
                   ? "ended by signal " + std::to_string(WTERMSIG(m_status))
                   : "exit status " + std::to_string(WEXITSTATUS(m_status));
    }
    /** Answers /ready with 200 in time. */
    bool ready(int wait_ms = 500) const
    {
        const int fd = connect_to(m_host, m_port_base + 4, wait_ms);
        if (fd < 0) {
            return false;
        }
        std::string input;
        message answer;
        const bool is =
            write_all(fd, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
            read_message(fd, input, answer, wait_ms, true) == read_end::bytes &&
            answer.status() == 200;
        ::close(fd);
        return is;
    }
    /** A line of /proc/PID/status in KB; 0 once the process has ended. */
    long memory_kb(const std::string& name) const
    {
        std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
        std::string word;
        long kb = 0;
        while (status >> word) {
            if (word == name + ":") {
                status >> kb;
                break;
            }
        }
        return kb;
    }
    const std::string& host() const
    {
        return m_host;
    }
    int callers() const
    {
        return m_port_base + 3;
    }
    const std::string& name() const
    {
        return m_name;
    }

private:
    std::string m_program;
    std::string m_folder;
    std::string m_host;
    int m_port_base;
    std::string m_name;
    std::string m_settings;
    std::atomic<pid_t> m_pid{-1};
    bool m_ended = false;
    int m_status = 0;
};

/** A network of its own for a run: 127.A.B. */
inline std::string network_of_run()
{
    const auto id = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(20 + id / 250 % 200) + "." +
           std::to_string(1 + id % 250);
}

/** Three ports beside each other and a range that are free on all VMs. */
inline int free_port_base(const std::string& network, unsigned vms)
{
    for (int base = 18400; base < 28000; base += 100) {
        bool free = true;
        for (unsigned i = 0; i < vms && free; ++i) {
            for (const int offset : {0, 3, 4, 20, 21}) {
                int port = base + offset;
                const int fd =
                    listen_at(network + "." + std::to_string(i + 1), port);
                free = free && fd >= 0;
                if (fd >= 0) {
                    ::close(fd);
                }
            }
        }
        if (free) {
            return base;
        }
    }
    return 0;
}

/** All VMs ready within the time. */
inline bool wait_ready(std::vector<std::unique_ptr<vm>>& vms, int wait_ms)
{
    const auto until = clock_type::now() + milliseconds(wait_ms);
    while (clock_type::now() < until) {
        bool all = true;
        for (const auto& each : vms) {
            all = all && each->ready();
        }
        if (all) {
            return true;
        }
        sleep_ms(100);
    }
    return false;
}

/** A folder, a store, backend servers and VMs; all end with it. */
struct deployment
{
    explicit deployment(unsigned count) : vm_count(count)
    {
        std::signal(SIGTERM, end_early);
        std::signal(SIGINT, end_early);
        char name[] = "/tmp/review-XXXXXX";
        folder = ::mkdtemp(name);
        registry = std::make_unique<store>(network + ".251");
    }
    /**
     * Ends the VMs and then this process. Threads of stand-ins may still run,
     * so nothing else is taken apart.
     */
    [[noreturn]] void finish(int result)
    {
        vms.clear();
        kill_started();
        const std::string command = "rm -rf " + folder;
        if (std::getenv("KEEP") == nullptr &&
            std::system(command.c_str()) != 0) {
            std::perror("rm");
        }
        ::_exit(result);
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    backend& add_backend(const std::string& id, const std::string& service,
                         backend::behaviour react, int receive_buffer = 0)
    {
        backends.push_back(std::make_unique<backend>(
            id, service, network + ".250", std::move(react), receive_buffer));
        registry->put("servers/" + id, backends.back()->entry());
        return *backends.back();
    }
    /** Starts the program that the deploy file names; all ready? */
    bool start(unsigned wait_ms = 10000)
    {
        const std::string program = "target/platform/cranberrywood-platformd";
        const int base = free_port_base(network, vm_count);
        if (base == 0 || ::access(program.c_str(), X_OK) != 0) {
            return false;
        }
        for (unsigned i = 0; i < vm_count; ++i) {
            vms.push_back(std::make_unique<vm>(
                program, folder, network, i, vm_count,
                network + ".251:" + std::to_string(registry->port()), base));
            if (!vms.back()->start()) {
                return false;
            }
        }
        return wait_ready(vms, static_cast<int>(wait_ms));
    }

    unsigned vm_count;
    std::string network = network_of_run();
    std::string folder;
    std::unique_ptr<store> registry;
    std::vector<std::unique_ptr<backend>> backends;
    std::vector<std::unique_ptr<vm>> vms;
};

/** The head of a client's request. */
inline std::string request_head(const std::string& id,
                                const std::string& target,
                                const std::string& method = "GET",
                                const std::string& more = "")
{
    return method + " " + target + " HTTP/1.1\r\nHost: shop.example\r\n" +
           "Request-Id: " + id + "\r\nRequest-Deadline: 2000\r\n" + more +
           "\r\n";
}

inline bool with_trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace review

#endif
