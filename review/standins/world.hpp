// Stand-ins for the users' platform, backend servers and callers, shared by
// the review's cases. They speak HTTP/1.1 as the users' pages say, on loopback
// addresses only, with one thread for each connection.
#ifndef REVIEW_STANDINS_WORLD_HPP
#define REVIEW_STANDINS_WORLD_HPP

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace world {

using steady = std::chrono::steady_clock;

inline const steady::time_point& started()
{
    static const steady::time_point at = steady::now();
    return at;
}

/** Returns the seconds since the start of the case. */
inline double now_s()
{
    return std::chrono::duration<double>(steady::now() - started()).count();
}

inline void sleep_s(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

inline void sleep_until_s(double at)
{
    sleep_s(at - now_s());
}

inline std::string format(const char* text, ...)
{
    char buffer[4096];
    va_list values;
    va_start(values, text);
    std::vsnprintf(buffer, sizeof buffer, text, values);
    va_end(values);
    return buffer;
}

/** Writes what was sent, answered and run, one event a line. */
class record_file
{
public:
    void open(const std::string& path)
    {
        m_file.open(path, std::ios::trunc);
    }
    void line(const std::string& text)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_file << format("%9.4f ", now_s()) << text << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline record_file& record()
{
    static record_file file;
    return file;
}

/** Says that the case could not run and ends with status 2. */
[[noreturn]] inline void cannot_run(const std::string& why);

inline std::uint64_t random_number()
{
    static std::mutex mutex;
    static std::mt19937_64 engine{std::random_device{}()};
    const std::lock_guard<std::mutex> lock(mutex);
    return engine();
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

/** One HTTP message; header names are in lower case. */
struct message
{
    std::string start_line;
    std::multimap<std::string, std::string> headers;
    std::string body;
    bool complete = false;

    std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
    std::string target() const
    {
        const std::size_t from = start_line.find(' ') + 1;
        return start_line.substr(from, start_line.find(' ', from) - from);
    }
    std::string method() const
    {
        return start_line.substr(0, start_line.find(' '));
    }
    int status() const
    {
        return start_line.size() > 9 ? std::atoi(start_line.c_str() + 9) : 0;
    }
};

/** A TCP connection with blocking calls. */
class stream
{
public:
    explicit stream(int fd) : m_fd(fd) {}
    ~stream()
    {
        close();
    }
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    static std::shared_ptr<stream> connect(const std::string& ip, int port,
                                           double within_s = 1.0,
                                           int receive_buffer = 0,
                                           int segment = 0)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        if (receive_buffer > 0) {
            ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                         sizeof receive_buffer);
        }
        if (segment > 0) {
            ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
        }
        auto made = std::make_shared<stream>(fd);
        made->send_timeout(within_s);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
        if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
            return nullptr;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        made->send_timeout(30);
        return made;
    }

    bool write(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t n = ::send(m_fd, bytes.data() + sent,
                                     bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /** Reads up to `most` bytes; empty at the end or after the time. */
    std::string read_some(std::size_t most, double within_s)
    {
        m_timed_out = false;
        pollfd wait{m_fd, POLLIN, 0};
        if (::poll(&wait, 1, static_cast<int>(within_s * 1000)) <= 0) {
            m_timed_out = true;
            return "";
        }
        std::string bytes(most, '\0');
        const ssize_t n = ::recv(m_fd, bytes.data(), most, 0);
        m_reset = n < 0;
        bytes.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return bytes;
    }

    /** Reads one message with a length, in chunks, or up to the end. */
    message read_message(double within_s)
    {
        message read;
        const double until = now_s() + within_s;
        std::size_t end = 0;
        while ((end = m_kept.find("\r\n\r\n")) == std::string::npos) {
            if (!more(until)) {
                return read;
            }
        }
        read_head(m_kept.substr(0, end), read);
        m_kept.erase(0, end + 4);
        const std::string length = read.header("content-length");
        if (lower(read.header("transfer-encoding")) == "chunked") {
            read.complete = read_chunks(read.body, until);
            return read;
        }
        const std::size_t size = std::strtoull(length.c_str(), nullptr, 10);
        while (m_kept.size() < size) {
            if (!more(until)) {
                read.body.swap(m_kept);
                return read;
            }
        }
        read.body = m_kept.substr(0, size);
        m_kept.erase(0, size);
        read.complete = true;
        return read;
    }

    bool timed_out() const
    {
        return m_timed_out;
    }
    bool was_reset() const
    {
        return m_reset;
    }
    /** Ends the connection with a reset. */
    void reset()
    {
        const linger now{1, 0};
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
    void close()
    {
        const int fd = m_fd.exchange(-1);
        if (fd >= 0) {
            ::close(fd);
        }
    }
    /** Makes a blocked call of another thread return. */
    void interrupt()
    {
        ::shutdown(m_fd, SHUT_RDWR);
    }
    /** Arms a reset for the moment at which the stream is closed. */
    void reset_at_close()
    {
        const linger now{1, 0};
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }

private:
    void send_timeout(double seconds)
    {
        timeval time{};
        time.tv_sec = static_cast<long>(seconds);
        time.tv_usec = static_cast<long>((seconds - time.tv_sec) * 1e6);
        ::setsockopt(m_fd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
    }
    bool more(double until)
    {
        const std::string bytes =
            read_some(65536, std::max(0.0, until - now_s()));
        m_kept += bytes;
        return !bytes.empty();
    }
    static void read_head(const std::string& head, message& to)
    {
        std::istringstream lines(head);
        std::string line;
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const std::size_t colon = line.find(':');
            if (to.start_line.empty()) {
                to.start_line = line;
            } else if (colon != std::string::npos) {
                std::size_t from = line.find_first_not_of(' ', colon + 1);
                to.headers.emplace(
                    lower(line.substr(0, colon)),
                    from == std::string::npos ? "" : line.substr(from));
            }
        }
    }
    bool read_chunks(std::string& body, double until)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = m_kept.find("\r\n")) == std::string::npos) {
                if (!more(until)) {
                    return false;
                }
            }
            const std::size_t size = std::strtoull(m_kept.c_str(), nullptr, 16);
            while (m_kept.size() < end + 2 + size + 2) {
                if (!more(until)) {
                    return false;
                }
            }
            body += m_kept.substr(end + 2, size);
            m_kept.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    std::atomic<int> m_fd;
    std::string m_kept;
    bool m_timed_out = false;
    bool m_reset = false;
};

/** Listens and serves each connection in a thread of its own. */
class server
{
public:
    using handler = std::function<void(const std::shared_ptr<stream>&)>;

    ~server()
    {
        stop(false);
    }

    bool start(const std::string& ip, int port, handler serve)
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
        if (::bind(m_fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
            ::listen(m_fd, 512) != 0) {
            ::close(m_fd);
            m_fd = -1;
            return false;
        }
        m_stopping = false;
        m_thread = std::thread([this, serve] { accept_all(serve); });
        return true;
    }

    /** Stops; with `abort`, open connections are reset as by a crash. */
    void stop(bool abort)
    {
        if (m_fd < 0) {
            return;
        }
        m_stopping = true;
        ::shutdown(m_fd, SHUT_RDWR);
        if (m_thread.joinable()) {
            m_thread.join();
        }
        ::close(m_fd);
        m_fd = -1;
        drop_connections(abort);
        while (m_serving > 0) {
            sleep_s(0.002);
        }
    }

    /** Ends all open connections, as a process does that crashes. */
    void drop_connections(bool abort)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const auto& weak : m_streams) {
            if (const auto open = weak.lock()) {
                if (abort) {
                    open->reset_at_close();
                }
                open->interrupt();
            }
        }
        m_streams.clear();
    }

private:
    void accept_all(const handler& serve)
    {
        while (!m_stopping) {
            pollfd wait{m_fd, POLLIN, 0};
            if (::poll(&wait, 1, 50) <= 0) {
                continue;
            }
            const int fd = ::accept(m_fd, nullptr, nullptr);
            if (fd < 0) {
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            auto open = std::make_shared<stream>(fd);
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_streams.push_back(open);
            }
            ++m_serving;
            std::thread([this, serve, open] {
                serve(open);
                open->close();
                --m_serving;
            }).detach();
        }
    }

    int m_fd = -1;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_serving{0};
    std::thread m_thread;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<stream>> m_streams;
};

inline std::string base64(const std::string& bytes)
{
    static const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group <<= 8U;
            group |= i + k < bytes.size()
                         ? static_cast<unsigned char>(bytes[i + k])
                         : 0U;
        }
        for (int k = 3; k >= 0; --k) {
            out += digits[(group >> (6U * static_cast<unsigned>(k))) & 63U];
        }
    }
    const std::size_t over = bytes.size() % 3;
    for (std::size_t k = 0; over != 0 && k < 3 - over; ++k) {
        out[out.size() - 1 - k] = '=';
    }
    return out;
}

/** The platform's store: items, pages of a list, and watches. */
class store
{
public:
    bool start(const std::string& ip, int port)
    {
        return m_server.start(ip, port, [this](const auto& s) { serve(s); });
    }
    void stop()
    {
        m_stopping = true;
        m_changed.notify_all();
        m_server.stop(false);
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

    static std::string query(const std::string& target, const std::string& key)
    {
        const std::string text = "&" + target.substr(target.find('?') + 1);
        const std::size_t at = text.find("&" + key + "=");
        if (at == std::string::npos) {
            return "";
        }
        const std::size_t from = at + key.size() + 2;
        return text.substr(from, text.find('&', from) - from);
    }
    static std::string json(const std::string& key, const item& i)
    {
        if (i.removed) {
            return "{\"key\":\"" + key +
                   "\",\"revision\":" + std::to_string(i.revision) +
                   ",\"tombstone\":true}";
        }
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64(i.value) +
               "\",\"revision\":" + std::to_string(i.revision) +
               ",\"created\":" + std::to_string(i.revision) + ",\"lease\":0}";
    }
    std::string list(const std::string& prefix, const std::string& after)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::string items;
        for (const auto& [key, i] : m_items) {
            if (key.rfind(prefix, 0) == 0 && key > after && !i.removed) {
                items += (items.empty() ? "" : ",") + json(key, i);
            }
        }
        return "{\"items\":[" + items + "],\"truncated\":false," +
               "\"store_revision\":" + std::to_string(m_revision) + "}";
    }
    std::string watch(const std::string& prefix, std::uint64_t after,
                      double wait_s)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        const auto until =
            steady::now() + std::chrono::duration<double>(wait_s);
        while (true) {
            std::map<std::uint64_t, std::string> events;
            for (const auto& [key, i] : m_items) {
                if (key.rfind(prefix, 0) == 0 && i.revision > after) {
                    events[i.revision] = json(key, i);
                }
            }
            if (!events.empty() || m_stopping || steady::now() >= until) {
                std::string text;
                for (const auto& [revision, event] : events) {
                    text += (text.empty() ? "" : ",") + event;
                }
                return "{\"events\":[" + text +
                       "],\"store_revision\":" + std::to_string(m_revision) +
                       "}";
            }
            m_changed.wait_until(
                lock, std::chrono::time_point_cast<steady::duration>(until));
        }
    }
    void serve(const std::shared_ptr<stream>& s)
    {
        while (true) {
            const message asked = s->read_message(60);
            if (!asked.complete) {
                return;
            }
            const std::string target = asked.target();
            const std::string prefix = query(target, "prefix");
            const std::string after = query(target, "after");
            std::string body;
            if (target.rfind("/kv-range", 0) == 0) {
                body = list(prefix, after);
            } else if (target.rfind("/kv-watch", 0) == 0) {
                body =
                    watch(prefix, std::strtoull(after.c_str(), nullptr, 10),
                          std::atof(query(target, "wait_ms").c_str()) / 1000);
            } else {
                s->write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            s->write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                     "Content-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
        }
    }

    server m_server;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<bool> m_stopping{false};
    std::map<std::string, item> m_items;
    std::uint64_t m_revision = 10;
};

/** A receipt that no other answer bears. */
inline std::string new_receipt()
{
    return format("%llx.00", static_cast<unsigned long long>(random_number()));
}

inline std::string answer_text(const std::string& status,
                               const std::string& request_id,
                               const std::string& receipt,
                               const std::string& body,
                               const std::string& more = "")
{
    return "HTTP/1.1 " + status + "\r\n" +
           (request_id.empty() ? "" : "Request-Id: " + request_id + "\r\n") +
           (receipt.empty() ? "" : "Response-Stamp: " + receipt + "\r\n") +
           more + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/** A backend server; reports itself to the store as the pages say. */
class backend
{
public:
    struct identity
    {
        std::string id;
        std::string service;
        std::string ip;
        int port = 0;
        std::string zone;
        int slots = 2;
    };
    /** Answers a request; returns whether the connection goes on. */
    using work = std::function<bool(backend&, const std::shared_ptr<stream>&,
                                    const message&)>;

    backend(store& at, identity who, work serve)
        : m_store(at), m_who(std::move(who)), m_work(std::move(serve))
    {
    }
    ~backend()
    {
        crash(false);
    }

    bool start()
    {
        m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
        m_sequence = 0;
        m_down = false;
        if (!m_server.start(m_who.ip, m_who.port,
                            [this](const auto& s) { serve(s); })) {
            return false;
        }
        report();
        m_beats = std::thread([this] {
            int ticks = 0;
            while (!m_down) {
                sleep_s(0.05);
                if (++ticks % 24 == 0 && !m_down) {
                    report();
                }
            }
        });
        return true;
    }
    /** Ends at once; open connections are reset, nothing is reported. */
    void crash(bool abort = true)
    {
        if (m_down.exchange(true)) {
            return;
        }
        if (m_beats.joinable()) {
            m_beats.join();
        }
        m_server.stop(abort);
    }
    bool down() const
    {
        return m_down;
    }
    /** Sets how much longer the server says that it is cold. */
    void cold_until(double at)
    {
        m_cold_until = at;
    }
    double cold_left_s() const
    {
        return std::max(0.0, m_cold_until - now_s());
    }
    const identity& who() const
    {
        return m_who;
    }

private:
    void report()
    {
        m_store.put(
            "servers/" + m_who.id,
            "{\"service\":\"" + m_who.service + "\",\"address\":\"" + m_who.ip +
                ":" + std::to_string(m_who.port) + "\",\"zone\":\"" +
                m_who.zone + "\",\"version\":\"v1\",\"max_concurrency\":" +
                std::to_string(m_who.slots) +
                ",\"state\":\"ready\",\"cold_remaining_ms\":" +
                std::to_string(static_cast<long>(cold_left_s() * 1000)) +
                ",\"born\":" + std::to_string(m_born) +
                ",\"sequence\":" + std::to_string(++m_sequence) + "}");
    }
    void serve(const std::shared_ptr<stream>& s)
    {
        while (!m_down) {
            const message asked = s->read_message(60);
            if (!asked.complete || m_down) {
                return;
            }
            const std::string expected = asked.header("target-instance");
            if (!expected.empty() && expected != m_who.id) {
                s->write("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " +
                         m_who.id + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if (!m_work(*this, s, asked)) {
                return;
            }
        }
    }

    store& m_store;
    identity m_who;
    work m_work;
    server m_server;
    std::thread m_beats;
    std::atomic<bool> m_down{true};
    std::atomic<double> m_cold_until{0};
    long long m_born = 0;
    std::uint64_t m_sequence = 0;
};

/** Fills in a template of the deploy file as the users' platform does. */
inline std::string render(std::string text,
                          const std::map<std::string, std::string>& values)
{
    const auto value = [&](const std::string& name) {
        const auto found = values.find(name);
        return found == values.end() ? std::string() : found->second;
    };
    std::size_t at = 0;
    while ((at = text.find("{{#")) != std::string::npos) {
        const std::size_t end = text.find("}}", at);
        const std::string name = text.substr(at + 3, end - at - 3);
        const std::string close = "{{/" + name + "}}";
        const std::size_t last = text.find(close, end);
        const bool keep = !value(name).empty() && value(name) != "false";
        const std::string inner =
            keep ? text.substr(end + 2, last - end - 2) : "";
        text.replace(at, last + close.size() - at, inner);
    }
    while ((at = text.find("{{")) != std::string::npos) {
        const std::size_t end = text.find("}}", at);
        text.replace(at, end + 2 - at,
                     value(text.substr(at + 2, end - at - 2)));
    }
    return text;
}

inline std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/** What the settings of a deployment say beside the machine's own. */
struct deployment
{
    std::string root;
    std::string folder;
    std::string store_ip;
    int store_port = 8361;
    std::vector<std::string> seeds;
    double grace_s = 6;
    double extra_share = 0.2;
    double extra_saved = 54;
};

constexpr int caller_port = 8363;
constexpr int ready_port = 8364;
constexpr int control_port = 8360;

/** One machine of the system: the program that the deploy file starts. */
class machine
{
public:
    machine(const deployment& in, std::string name, std::string ip,
            std::string zone)
        : m_in(in), m_name(std::move(name)), m_ip(std::move(ip)),
          m_zone(std::move(zone))
    {
    }
    ~machine()
    {
        signal(SIGCONT);
        signal(SIGKILL);
        wait_end(5);
    }

    void start(bool first_start)
    {
        const std::string settings = m_in.folder + "/" + m_name + ".ini";
        std::ofstream(settings) << render(
            read_file(m_in.root + "/deploy/vm.ini"), values(first_start));
        const std::string log = m_in.folder + "/" + m_name + ".log";
        const std::string program =
            m_in.root + "/target/platform/cranberrywood-platformd";
        const std::string config = "CRANBERRYWOOD_CONFIG=" + settings;
        char* const words[] = {const_cast<char*>(program.c_str()), nullptr};
        char* const variables[] = {const_cast<char*>("PATH=/usr/bin:/bin"),
                                   const_cast<char*>("LANG=C.UTF-8"),
                                   const_cast<char*>(config.c_str()), nullptr};
        const int output = ::open(
            log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        m_pid = ::fork();
        if (m_pid == 0) {
            // It ends with the case, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::chdir(m_in.root.c_str()) != 0 || ::dup2(output, 1) < 0 ||
                ::dup2(output, 2) < 0) {
                ::_exit(127);
            }
            for (int fd = 3; fd < 4096; ++fd) {
                ::close(fd);
            }
            ::execve(program.c_str(), words, variables);
            ::_exit(127);
        }
        ::close(output);
    }
    void signal(int number)
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }
    bool running()
    {
        if (m_pid > 0 && ::waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
            m_pid = -1;
        }
        return m_pid > 0;
    }
    bool wait_end(double seconds)
    {
        const double until = now_s() + seconds;
        while (running()) {
            if (now_s() > until) {
                return false;
            }
            sleep_s(0.005);
        }
        return true;
    }
    /** Asks whether the machine takes callers, as the platform does. */
    bool ready() const
    {
        const auto s = stream::connect(m_ip, ready_port, 0.5);
        if (!s || !s->write("GET /ready HTTP/1.1\r\nHost: " + m_ip +
                            "\r\nConnection: close\r\n\r\n")) {
            return false;
        }
        return s->read_message(0.8).status() == 200;
    }
    int exit_status() const
    {
        return m_status;
    }
    /** Returns the resident memory in kilobytes. */
    long memory_kb() const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.rfind("VmRSS:", 0) == 0) {
                return std::atol(line.c_str() + 6);
            }
        }
        return 0;
    }
    const std::string& ip() const
    {
        return m_ip;
    }
    const std::string& name() const
    {
        return m_name;
    }
    const std::string& zone() const
    {
        return m_zone;
    }

private:
    std::map<std::string, std::string> values(bool first_start) const
    {
        std::string seeds;
        for (const std::string& seed : m_in.seeds) {
            seeds += (seeds.empty() ? "" : ",") + seed + ":" +
                     std::to_string(control_port);
        }
        const auto at = [&](int port) {
            return m_ip + ":" + std::to_string(port);
        };
        return {{"node_name", m_name},
                {"zone", m_zone},
                {"ip", m_ip},
                {"listen.front", at(caller_port)},
                {"listen.ready", at(ready_port)},
                {"listen.control", at(control_port)},
                {"internal_port_range", "7740,7755"},
                {"seeds", seeds},
                {"seeds.0", m_in.seeds.empty() ? "" : m_in.seeds.front()},
                {"platform.address",
                 m_in.store_ip + ":" + std::to_string(m_in.store_port)},
                {"bounds.retry_budget_ratio", format("%g", m_in.extra_share)},
                {"bounds.budget_slack", format("%g", m_in.extra_saved)},
                {"bounds.grace_s", format("%g", m_in.grace_s)},
                {"bootstrap", first_start ? "true" : ""}};
    }

    const deployment& m_in;
    std::string m_name;
    std::string m_ip;
    std::string m_zone;
    pid_t m_pid = -1;
    int m_status = 0;
};

/** Loopback addresses and folders of one run, and its machines. */
class scene
{
public:
    /** Takes `case ROOT FOLDER`: the repository and the case's folder. */
    scene(int argc, char** argv)
    {
        started();
        ::signal(SIGPIPE, SIG_IGN);
        if (argc != 3) {
            std::fprintf(stderr, "usage: %s ROOT FOLDER\n", argv[0]);
            std::exit(2);
        }
        record().open(std::string(argv[2]) + "/record.txt");
        char folder[] = "/tmp/review-XXXXXX";
        if (::mkdtemp(folder) == nullptr) {
            cannot_run("no temporary folder");
        }
        in.root = argv[1];
        in.folder = folder;
        for (int tries = 0; tries < 20; ++tries) {
            m_net = "127." + std::to_string(20 + random_number() % 200) + "." +
                    std::to_string(1 + random_number() % 250) + ".";
            in.store_ip = m_net + "7";
            if (platform.start(in.store_ip, in.store_port)) {
                return;
            }
        }
        cannot_run("no free address for the store");
    }
    ~scene()
    {
        machines.clear();
        platform.stop();
        if (std::getenv("KEEP") == nullptr) {
            const std::string command = "rm -rf " + in.folder;
            if (std::system(command.c_str()) != 0) {
                std::fprintf(stderr, "%s stays\n", in.folder.c_str());
            }
        } else {
            std::fprintf(stderr, "logs in %s\n", in.folder.c_str());
        }
    }

    std::string address(int last) const
    {
        return m_net + std::to_string(last);
    }
    /** Starts one machine for each zone named; the first three are seeds. */
    void start_machines(const std::vector<std::string>& zones)
    {
        for (std::size_t i = 0; i < zones.size() && i < 3; ++i) {
            in.seeds.push_back(address(10 + static_cast<int>(i)));
        }
        for (std::size_t i = 0; i < zones.size(); ++i) {
            machines.push_back(std::make_unique<machine>(
                in, "front-" + zones[i] + "-" + std::to_string(i + 1),
                address(10 + static_cast<int>(i)), zones[i]));
        }
        for (const auto& m : machines) {
            m->start(true);
        }
        await_ready(20);
    }
    void await_ready(double seconds)
    {
        const double until = now_s() + seconds;
        for (const auto& m : machines) {
            while (!m->ready()) {
                if (now_s() > until || !m->running()) {
                    cannot_run(m->name() + " is not ready");
                }
                sleep_s(0.1);
            }
        }
    }

    store platform;
    deployment in;
    std::vector<std::unique_ptr<machine>> machines;

private:
    std::string m_net;
};

inline void cannot_run(const std::string& why)
{
    record().line("the case could not run: " + why);
    std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
    // Threads still run, so nothing is destroyed; machines end with us.
    ::_exit(2);
}

/** Returns whether the disruption is to be made. */
inline bool with_trouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

inline std::string new_request_id()
{
    return format("%016llx", static_cast<unsigned long long>(random_number()));
}

inline std::string request_text(const std::string& method,
                                const std::string& target,
                                const std::string& host, const std::string& id,
                                int deadline_ms, const std::string& key,
                                const std::string& body = "",
                                const std::string& more = "")
{
    return method + " " + target + " HTTP/1.1\r\nHost: " + host +
           "\r\nRequest-Id: " + id +
           "\r\nRequest-Deadline: " + std::to_string(deadline_ms) + "\r\n" +
           (key.empty() ? "" : "Api-Key: " + key + "\r\n") + more +
           (body.empty() && method == "GET"
                ? ""
                : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

} // namespace world

#endif
