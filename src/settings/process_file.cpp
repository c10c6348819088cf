#include "settings/process_file.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <ini.h>
#include <set>
#include <sstream>

namespace cranberrywood {

namespace {

bool is_ip_number(const std::string& host)
{
    in_addr address{};
    return inet_pton(AF_INET, host.c_str(), &address) == 1;
}

/** State of one pass over a settings file. */
class file_pass
{
public:
    explicit file_pass(const process_file_keys& keys) : m_keys(keys) {}

    void take(const std::string& section, const std::string& key,
              const std::string& value, int line)
    {
        const std::string path = section + "." + key;
        if (!m_seen.insert(path).second) {
            report(line, path, "is set twice");
            return;
        }
        const auto open = m_keys.open_sections.find(section);
        if (open != m_keys.open_sections.end()) {
            check(line, path, open->second(key, value));
        } else if (const auto* taker = find(path)) {
            check(line, path, (*taker)(value));
        } else {
            report(line, path, "is not a known key");
        }
    }

    void syntax_error(int line)
    {
        m_errors.push_back(std::to_string(line) +
                           ": is neither a section nor `key = value`");
    }

    process_file_errors finish()
    {
        for (const auto& [path, unused] : m_keys.required) {
            if (m_seen.count(path) == 0) {
                report(0, path, "is missing");
            }
        }
        return std::move(m_errors);
    }

private:
    const value_taker* find(const std::string& path) const
    {
        const auto required = m_keys.required.find(path);
        if (required != m_keys.required.end()) {
            return &required->second;
        }
        const auto optional = m_keys.optional.find(path);
        return optional != m_keys.optional.end() ? &optional->second : nullptr;
    }
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

    const process_file_keys& m_keys;
    std::set<std::string> m_seen;
    process_file_errors m_errors;
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

process_file_errors read_process_file(const std::string& text,
                                      const process_file_keys& keys)
{
    file_pass pass(keys);
    line_source source{text, 0, 0, pass};
    const int bad_line =
        ini_parse_stream(next_line, &source, take_value, &source);
    if (bad_line != 0) {
        pass.syntax_error(bad_line);
    }
    return pass.finish();
}

std::string take_decimal(const std::string& value, double limit, double& to)
{
    std::istringstream text(value);
    double read = -1.0;
    const bool number = (text >> read) && text.eof();
    // The comparison is false for a value that is not a number.
    if (!number || !(read >= 0.0 && read <= limit)) {
        std::ostringstream error;
        error << "must be a number from 0 to " << limit;
        return error.str();
    }
    to = read;
    return {};
}

std::string take_host(const std::string& value, std::string& to)
{
    if (!is_ip_number(value)) {
        return "must be an IP number";
    }
    to = value;
    return {};
}

std::string take_name(const std::string& value, std::string& to)
{
    if (value.empty()) {
        return "must not be empty";
    }
    to = value;
    return {};
}

std::string take_endpoint(const std::string& value, endpoint& to)
{
    auto read = read_endpoint(value);
    if (auto* error = std::get_if<std::string>(&read)) {
        return *error;
    }
    to = std::get<endpoint>(read);
    return {};
}

std::variant<endpoint, std::string> read_endpoint(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    endpoint result;
    if (colon == std::string::npos) {
        return std::string("must be HOST:PORT");
    }
    if (auto error = take_host(text.substr(0, colon), result.host);
        !error.empty()) {
        return "host " + error;
    }
    if (auto error = take_number(text.substr(colon + 1), max_port, result.port);
        !error.empty()) {
        return "port " + error;
    }
    return result;
}

} // namespace cranberrywood
