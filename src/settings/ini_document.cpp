#include "settings/ini_document.hpp"

#include "settings/text_check.hpp"

// The packaged library passes line numbers; its header does not say so.
#define INI_HANDLER_LINENO 1
#include <ini.h>

#include <algorithm>
#include <set>

namespace cranberrywood {

namespace {

// The library splits longer lines in two and miscounts those that follow.
constexpr std::size_t max_line_bytes = 190;
constexpr std::size_t max_name_bytes = 64;
constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";
constexpr std::string_view blanks = " \t\r";

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

bool is_comment(std::string_view line)
{
    const std::string_view body = trimmed(line);
    return body.empty() || body.front() == ';' || body.front() == '#';
}

bool is_name(std::string_view name)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '_' || c == '-' || c == '.' ||
               c == '/';
    };
    return !name.empty() && name.size() <= max_name_bytes &&
           std::all_of(name.begin(), name.end(), allowed);
}

/** Collects the value of one entry from the calls of the library. */
struct entry_handler
{
    std::string key;
    std::string value;

    static int on_value(void* self, const char* /*section*/, const char* name,
                        const char* value, int /*line*/)
    {
        auto& entry = *static_cast<entry_handler*>(self);
        entry.key = name;
        if (!entry.value.empty()) {
            entry.value += ' ';
        }
        entry.value += value;
        return 1;
    }
};

/** Splits a file into headings and entries; the library reads the entries. */
class document_reader
{
public:
    document_reader(ini_document& document, std::vector<settings_error>& errors)
        : m_document(document), m_errors(errors)
    {
    }

    void read(std::string_view text)
    {
        if (text.substr(0, byte_order_mark.size()) == byte_order_mark) {
            text.remove_prefix(byte_order_mark.size());
        }
        while (!text.empty()) {
            const std::size_t end = text.find('\n');
            ++m_line;
            take_line(text.substr(0, end));
            text.remove_prefix(std::min(end, text.size() - 1) + 1);
        }
        finish_entry();
    }

private:
    void take_line(std::string_view line)
    {
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (!is_sound(line) || is_comment(line)) {
            return;
        }
        if (line.front() == ' ' || line.front() == '\t') {
            continue_entry(line);
            return;
        }
        finish_entry();
        if (line.front() == '[') {
            open_section(line);
            return;
        }
        m_entry = std::string(line) + '\n';
        m_entry_line = m_line;
    }

    bool is_sound(std::string_view line)
    {
        if (line.size() > max_line_bytes) {
            report("line is longer than 190 bytes; continue a list on "
                   "indented lines");
            return false;
        }
        if (!is_utf8(line)) {
            report("bytes are not UTF-8");
            return false;
        }
        if (has_control_characters(line)) {
            report("line has control characters");
            return false;
        }
        return true;
    }

    void continue_entry(std::string_view line)
    {
        if (m_entry.empty()) {
            report("indented line continues no value");
            return;
        }
        m_entry += std::string(line) + '\n';
    }

    void finish_entry()
    {
        if (m_entry.empty()) {
            return;
        }
        entry_handler handler;
        const int bad_line = ini_parse_string(
            m_entry.c_str(), &entry_handler::on_value, &handler);
        m_entry.clear();
        if (bad_line != 0) {
            report_at(m_entry_line, "", "expected `key = value`");
            return;
        }
        add_field({handler.key, handler.value, m_entry_line});
    }

    void add_field(ini_field field)
    {
        if (m_heading.empty()) {
            report_at(field.line, field.key, "key stands in no section");
            return;
        }
        if (!m_keys.insert(field.key).second) {
            report_at(field.line, field.key, "duplicated key");
            return;
        }
        if (m_section_valid) {
            m_document.sections.back().fields.push_back(std::move(field));
        }
    }

    void open_section(std::string_view line)
    {
        m_keys.clear();
        m_section_valid = false;
        const std::size_t close = line.find(']');
        m_heading = trimmed(line.substr(1, close - 1));
        const bool closed = close != std::string_view::npos;
        if (!closed || !is_comment(line.substr(close + 1))) {
            report("expected `[kind name]`");
            return;
        }
        const std::size_t gap = m_heading.find_first_of(" \t");
        const std::string word = m_heading.substr(0, gap);
        const auto kind = section_kind_of(word);
        if (!kind) {
            report("unknown section");
            return;
        }
        const std::string name =
            gap == std::string::npos
                ? std::string()
                : std::string(trimmed(std::string_view(m_heading).substr(gap)));
        add_section(*kind, name);
    }

    void add_section(section_kind kind, const std::string& name)
    {
        m_heading = heading_of(kind, name);
        const bool unnamed = kind == section_kind::fleet;
        if (unnamed != name.empty()) {
            report(unnamed ? "section takes no name" : "section needs a name");
            return;
        }
        if (!unnamed && !is_name(name)) {
            report(
                "name must be 1 to 64 of the characters A-Z a-z 0-9 _ - . /");
            return;
        }
        if (name == all_names) {
            report("the name stands for every name");
            return;
        }
        if (!m_headings.insert(m_heading).second) {
            report("duplicated section");
            return;
        }
        m_document.sections.push_back({kind, name, m_line, {}});
        m_section_valid = true;
    }

    void report(std::string why)
    {
        report_at(m_line, "", std::move(why));
    }

    void report_at(std::uint32_t line, std::string key, std::string why)
    {
        m_errors.push_back(
            {m_document.file, line, m_heading, std::move(key), std::move(why)});
    }

    ini_document& m_document;
    std::vector<settings_error>& m_errors;
    std::set<std::string> m_headings;
    std::set<std::string> m_keys;
    std::string m_heading;
    std::string m_entry;
    std::uint32_t m_line = 0;
    std::uint32_t m_entry_line = 0;
    bool m_section_valid = false;
};

} // namespace

ini_document read_ini(std::string file, std::string_view text,
                      std::vector<settings_error>& errors)
{
    ini_document document;
    document.file = std::move(file);
    document_reader(document, errors).read(text);
    return document;
}

} // namespace cranberrywood
