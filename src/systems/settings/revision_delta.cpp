#include "systems/settings/revision_delta.hpp"

#include <algorithm>
#include <charconv>
#include <unordered_map>
#include <vector>

namespace cranberrywood {

namespace {

using lines = std::vector<std::string_view>;

lines split_lines(std::string_view text)
{
    lines found;
    std::size_t at = 0;
    for (;;) {
        const std::size_t end = text.find('\n', at);
        found.push_back(text.substr(at, end - at));
        if (end == std::string_view::npos) {
            return found;
        }
        at = end + 1;
    }
}

constexpr std::size_t not_unique = ~std::size_t{0};

/** Maps each line to its position, or to not_unique if it is repeated. */
std::unordered_map<std::string_view, std::size_t> index_lines(const lines& text)
{
    std::unordered_map<std::string_view, std::size_t> positions;
    positions.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto [found, added] = positions.try_emplace(text[i], i);
        if (!added) {
            found->second = not_unique;
        }
    }
    return positions;
}

/** Writes a delta; merges adjacent copies and adjacent insertions. */
class delta_writer
{
public:
    void copy(std::size_t line)
    {
        flush_inserted();
        if (m_copied != 0 && m_first + m_copied == line) {
            ++m_copied;
            return;
        }
        flush_copied();
        m_first = line;
        m_copied = 1;
    }

    void insert(std::string_view line)
    {
        flush_copied();
        m_inserted.push_back(line);
    }

    std::string take()
    {
        flush_copied();
        flush_inserted();
        return std::move(m_delta);
    }

private:
    void flush_copied()
    {
        if (m_copied != 0) {
            m_delta += '=' + std::to_string(m_first) + ' ' +
                       std::to_string(m_copied) + '\n';
        }
        m_copied = 0;
    }

    void flush_inserted()
    {
        if (!m_inserted.empty()) {
            m_delta += '+' + std::to_string(m_inserted.size()) + '\n';
        }
        for (const auto line : m_inserted) {
            m_delta += line;
            m_delta += '\n';
        }
        m_inserted.clear();
    }

    std::string m_delta;
    lines m_inserted;
    std::size_t m_first = 0;
    std::size_t m_copied = 0;
};

/** Reads a delta line by line. */
class delta_reader
{
public:
    explicit delta_reader(std::string_view delta) : m_rest(delta) {}

    bool at_end() const
    {
        return m_rest.empty();
    }

    std::optional<std::string_view> read_line()
    {
        const std::size_t end = m_rest.find('\n');
        if (end == std::string_view::npos) {
            return std::nullopt;
        }
        const std::string_view taken = m_rest.substr(0, end);
        m_rest.remove_prefix(end + 1);
        return taken;
    }

private:
    std::string_view m_rest;
};

std::optional<std::size_t> read_count(std::string_view digits)
{
    std::size_t count = 0;
    const char* end = digits.data() + digits.size();
    const auto [rest, error] = std::from_chars(digits.data(), end, count);
    if (error != std::errc() || rest != end) {
        return std::nullopt;
    }
    return count;
}

/** Builds the new text from the operations of a delta. */
class delta_applier
{
public:
    delta_applier(lines old_lines, std::size_t max_bytes)
        : m_old(std::move(old_lines)), m_max_bytes(max_bytes)
    {
    }

    bool apply(delta_reader& delta)
    {
        const auto operation = delta.read_line();
        if (!operation || operation->empty()) {
            return false;
        }
        if (operation->front() == '=') {
            return copy(operation->substr(1));
        }
        return operation->front() == '+' && insert(operation->substr(1), delta);
    }

    std::string take()
    {
        // append() ends every line with a line feed; the last one has none.
        m_text.resize(m_text.empty() ? 0 : m_text.size() - 1);
        return std::move(m_text);
    }

private:
    bool copy(std::string_view range)
    {
        const std::size_t space = range.find(' ');
        if (space == std::string_view::npos) {
            return false;
        }
        const auto first = read_count(range.substr(0, space));
        const auto count = read_count(range.substr(space + 1));
        if (!first || !count || *first > m_old.size() ||
            *count > m_old.size() - *first) {
            return false;
        }
        for (std::size_t i = 0; i < *count; ++i) {
            if (!append(m_old[*first + i])) {
                return false;
            }
        }
        return true;
    }

    bool insert(std::string_view digits, delta_reader& delta)
    {
        const auto count = read_count(digits);
        if (!count) {
            return false;
        }
        for (std::size_t i = 0; i < *count; ++i) {
            const auto line = delta.read_line();
            if (!line || !append(*line)) {
                return false;
            }
        }
        return true;
    }

    bool append(std::string_view line)
    {
        m_text += line;
        m_text += '\n';
        return m_text.size() <= m_max_bytes + 1;
    }

    lines m_old;
    std::size_t m_max_bytes;
    std::string m_text;
};

} // namespace

// Compares the texts line by line. After a difference, lines are inserted until
// one occurs exactly once in the old text, and copying resumes there. Section
// headings are unique, so deltas stay small without a quadratic search.
std::string make_delta(std::string_view old_text, std::string_view new_text)
{
    const lines old_lines = split_lines(old_text);
    const auto anchors = index_lines(old_lines);
    delta_writer writer;
    std::size_t next = 0;
    for (const auto line : split_lines(new_text)) {
        if (next >= old_lines.size() || old_lines[next] != line) {
            const auto anchor = anchors.find(line);
            if (anchor == anchors.end() || anchor->second == not_unique) {
                writer.insert(line);
                continue;
            }
            next = anchor->second;
        }
        writer.copy(next);
        ++next;
    }
    return writer.take();
}

std::optional<std::string> apply_delta(std::string_view old_text,
                                       std::string_view delta,
                                       std::size_t max_bytes)
{
    delta_reader reader(delta);
    delta_applier applier(split_lines(old_text), max_bytes);
    while (!reader.at_end()) {
        if (!applier.apply(reader)) {
            return std::nullopt;
        }
    }
    return applier.take();
}

} // namespace cranberrywood
