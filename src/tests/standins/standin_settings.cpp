#include "tests/standins/standin_settings.hpp"

#include <charconv>
#include <functional>
#include <ini.h>
#include <map>

namespace cranberrywood::standins {

namespace {

using reader = std::function<bool(const std::string&)>;

template <class Number>
reader number(Number& to)
{
    return [&to](const std::string& value) {
        const char* end = value.data() + value.size();
        const auto read = std::from_chars(value.data(), end, to);
        return read.ec == std::errc() && read.ptr == end;
    };
}

/** Reads a duration in milliseconds. */
reader milliseconds(duration& to)
{
    return [&to](const std::string& value) {
        std::uint32_t count = 0;
        const bool read = number(count)(value);
        to = std::chrono::milliseconds(count);
        return read;
    };
}

reader text(std::string& to)
{
    return [&to](const std::string& value) {
        to = value;
        return !value.empty();
    };
}

struct file_pass
{
    std::map<std::string, reader> keys;
    std::string error;
};

int take(void* user, const char* section, const char* name, const char* value)
{
    auto& pass = *static_cast<file_pass*>(user);
    const std::string path = std::string(section) + "." + name;
    const auto key = pass.keys.find(path);
    if (key == pass.keys.end() || !key->second(value)) {
        pass.error = path + ": unknown, or its value cannot be read";
        return 0;
    }
    return 1;
}

} // namespace

std::variant<standin_settings, std::string>
read_standin_settings(const std::string& content)
{
    standin_settings s;
    file_pass pass{{{"standin.folder", text(s.folder)},
                    {"standin.host", text(s.host)},
                    {"standin.port", number(s.port)},
                    {"standin.seed", number(s.seed)},
                    {"standin.list_lag_ms", milliseconds(s.list_lag)},
                    {"work.shortest_ms", milliseconds(s.work.shortest)},
                    {"work.spread_ms", milliseconds(s.work.spread)},
                    {"work.straggler_ppm", number(s.work.straggler_ppm)},
                    {"work.straggler_ms", milliseconds(s.work.straggler)},
                    {"work.warm_after", number(s.work.warm_after)},
                    {"work.restart_ms", milliseconds(s.work.restart)}},
                   {}};
    const int bad_line = ini_parse_string(content.c_str(), take, &pass);
    if (bad_line != 0) {
        return "line " + std::to_string(bad_line) + ": " + pass.error;
    }
    if (s.folder.empty() || s.port == 0) {
        return std::string("standin.folder and standin.port are needed");
    }
    return s;
}

} // namespace cranberrywood::standins
