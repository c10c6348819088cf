#include "io/process_settings.hpp"

#include <arpa/inet.h>
#include <charconv>
#include <functional>
#include <ini.h>
#include <set>

namespace cranberrywood {

namespace {

constexpr std::uint32_t max_http_threads = 1024;
constexpr std::uint32_t max_http_queue = 65536;

using reader = std::function<std::string(const std::string& value)>;

/** Reads a number in [1, limit]; returns the error, else nothing. */
template <class Number>
std::string read_number(const std::string& value, std::uint32_t limit,
                        Number& to)
{
    std::uint32_t number = 0;
    const char* end = value.data() + value.size();
    const auto read = std::from_chars(value.data(), end, number);
    if (read.ec != std::errc() || read.ptr != end || number == 0 ||
        number > limit) {
        return "must be a number from 1 to " + std::to_string(limit);
    }
    to = static_cast<Number>(number);
    return {};
}

bool is_ip_number(const std::string& host)
{
    in_addr address{};
    return inet_pton(AF_INET, host.c_str(), &address) == 1;
}

std::string read_host(const std::string& value, std::string& to)
{
    if (!is_ip_number(value)) {
        return "must be an IP number";
    }
    to = value;
    return {};
}

std::string read_name(const std::string& value, std::string& to)
{
    if (value.empty()) {
        return "must not be empty";
    }
    to = value;
    return {};
}

std::string store_endpoint(const std::string& value, endpoint& to)
{
    auto read = read_endpoint(value);
    if (auto* error = std::get_if<std::string>(&read)) {
        return *error;
    }
    to = std::get<endpoint>(read);
    return {};
}

constexpr std::uint32_t max_port = 65535;

/** Keys that must be there, by `section.key`, and how each is read. */
std::map<std::string, reader> required_keys(process_settings& s)
{
    return {
        {"vm.name", [&](auto& v) { return read_name(v, s.name); }},
        {"vm.data_centre",
         [&](auto& v) { return read_name(v, s.data_centre); }},
        {"vm.site", [&](auto& v) { return read_name(v, s.site); }},
        {"vm.host", [&](auto& v) { return read_host(v, s.peer.host); }},
        {"vm.peer_port",
         [&](auto& v) { return read_number(v, max_port, s.peer.port); }},
        {"vm.http_port",
         [&](auto& v) { return read_number(v, max_port, s.http.port); }},
        {"platform.configuration",
         [&](auto& v) { return store_endpoint(v, s.configuration); }},
        {"platform.vm_list",
         [&](auto& v) { return store_endpoint(v, s.vm_list); }},
    };
}

std::map<std::string, reader> optional_keys(process_settings& s)
{
    return {
        {"http.threads",
         [&](auto& v) {
             return read_number(v, max_http_threads, s.http_threads);
         }},
        {"http.queue",
         [&](auto& v) { return read_number(v, max_http_queue, s.http_queue); }},
    };
}

/** State of one pass over a settings file. */
class file_pass
{
public:
    explicit file_pass(process_settings& target)
        : m_target(target), m_required(required_keys(target)),
          m_optional(optional_keys(target))
    {
    }

    void take(const std::string& section, const std::string& key,
              const std::string& value, int line)
    {
        const std::string path = section + "." + key;
        if (!m_seen.insert(path).second) {
            report(line, path, "is set twice");
            return;
        }
        if (section == "seeds") {
            check(line, path, store_endpoint(value, m_target.seeds[key]));
        } else if (const auto it = m_required.find(path);
                   it != m_required.end()) {
            check(line, path, it->second(value));
        } else if (const auto other = m_optional.find(path);
                   other != m_optional.end()) {
            check(line, path, other->second(value));
        } else {
            report(line, path, "is not a known key");
        }
    }

    void syntax_error(int line)
    {
        m_errors.push_back(std::to_string(line) +
                           ": is neither a section nor `key = value`");
    }

    process_settings_errors finish()
    {
        for (const auto& [path, unused] : m_required) {
            if (m_seen.count(path) == 0) {
                report(0, path, "is missing");
            }
        }
        m_target.http.host = m_target.peer.host;
        return std::move(m_errors);
    }

private:
    void check(int line, const std::string& path, const std::string& error)
    {
        if (!error.empty()) {
            report(line, path, error);
        }
    }
    void report(int line, const std::string& path, const std::string& why)
    {
        m_errors.push_back(std::to_string(line) + ": " + path + ": " + why);
    }

    process_settings& m_target;
    std::map<std::string, reader> m_required;
    std::map<std::string, reader> m_optional;
    std::set<std::string> m_seen;
    process_settings_errors m_errors;
};

// Debian builds inih with line numbers for handlers switched off, so that the
// lines are counted where the library asks for the next one.
struct line_source
{
    const std::string& text;
    std::size_t at = 0;
    int line = 0;
    file_pass& pass;
};

char* next_line(char* buffer, int size, void* stream)
{
    auto& source = *static_cast<line_source*>(stream);
    if (source.at >= source.text.size()) {
        return nullptr;
    }
    const std::size_t end = source.text.find('\n', source.at);
    const std::size_t stop =
        end == std::string::npos ? source.text.size() : end + 1;
    const std::size_t length =
        std::min(stop - source.at, static_cast<std::size_t>(size) - 1);
    source.text.copy(buffer, length, source.at);
    buffer[length] = '\0';
    source.at += length;
    ++source.line;
    return buffer;
}

int take_value(void* user, const char* section, const char* key,
               const char* value)
{
    auto& source = *static_cast<line_source*>(user);
    source.pass.take(section, key, value, source.line);
    return 1;
}

} // namespace

std::variant<endpoint, std::string> read_endpoint(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    endpoint result;
    if (colon == std::string::npos) {
        return std::string("must be HOST:PORT");
    }
    if (auto error = read_host(text.substr(0, colon), result.host);
        !error.empty()) {
        return "host " + error;
    }
    if (auto error = read_number(text.substr(colon + 1), max_port, result.port);
        !error.empty()) {
        return "port " + error;
    }
    return result;
}

std::variant<process_settings, process_settings_errors>
read_process_settings(const std::string& text)
{
    process_settings settings;
    file_pass pass(settings);
    line_source source{text, 0, 0, pass};
    const int bad_line =
        ini_parse_stream(next_line, &source, take_value, &source);
    if (bad_line != 0) {
        pass.syntax_error(bad_line);
    }
    process_settings_errors errors = pass.finish();
    if (!errors.empty()) {
        return errors;
    }
    return settings;
}

} // namespace cranberrywood
