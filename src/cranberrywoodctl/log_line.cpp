#include "cranberrywoodctl/log_line.hpp"

#include <algorithm>
#include <cctype>

namespace cranberrywood::ctl {

namespace {

constexpr const char* code_mark = " CW";
constexpr std::size_t code_digits = 4;

/** Takes `key=value` or `key="value"` from a place on; moves the place. */
std::optional<std::pair<std::string, std::string>>
take_field(const std::string& text, std::size_t& at)
{
    at = text.find_first_not_of(' ', at);
    if (at == std::string::npos) {
        return std::nullopt;
    }
    const std::size_t equals = text.find('=', at);
    if (equals == std::string::npos) {
        return std::nullopt;
    }
    const std::string key = text.substr(at, equals - at);
    const std::size_t start = equals + 1;
    const bool quoted = start < text.size() && text[start] == '"';
    const std::size_t first = quoted ? start + 1 : start;
    const std::size_t end =
        std::min(text.find(quoted ? '"' : ' ', first), text.size());
    at = quoted ? end + 1 : end;
    return std::make_pair(key, text.substr(first, end - first));
}

} // namespace

std::optional<std::string> log_line::field(const std::string& key) const
{
    const auto found =
        std::find_if(fields.begin(), fields.end(),
                     [&](const auto& field) { return field.first == key; });
    return found == fields.end() ? std::nullopt : std::optional(found->second);
}

std::optional<log_line> read_log_line(const std::string& text)
{
    const std::size_t mark = text.find(code_mark);
    if (mark == std::string::npos || mark == 0) {
        return std::nullopt;
    }
    const std::size_t digits = mark + std::string(code_mark).size();
    const std::string code = text.substr(digits, code_digits);
    const bool is_code =
        code.size() == code_digits &&
        std::all_of(code.begin(), code.end(),
                    [](unsigned char c) { return std::isdigit(c) != 0; });
    if (!is_code) {
        return std::nullopt;
    }
    log_line line;
    line.code = static_cast<std::uint32_t>(std::stoul(code));
    const std::size_t blank = text.rfind(' ', mark - 1);
    const std::size_t start = blank == std::string::npos ? 0 : blank + 1;
    line.time = text.substr(start, mark - start);
    std::size_t at = digits + code_digits;
    while (at < text.size()) {
        const auto field = take_field(text, at);
        if (!field) {
            break;
        }
        if (field->first == "vm" && line.vm.empty()) {
            line.vm = field->second;
        } else {
            line.fields.push_back(*field);
        }
    }
    return line;
}

} // namespace cranberrywood::ctl
