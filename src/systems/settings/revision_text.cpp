#include "systems/settings/revision_text.hpp"

#include <algorithm>
#include <charconv>

namespace cranberrywood {

namespace {

constexpr std::uint64_t digest_seed = 0x7265766973696f6e;

void append_part(std::string& text, const std::string& heading,
                 const std::string& body)
{
    text += heading;
    text += '\n';
    text += body;
    text += '\n';
}

/** Reads the parts of a text in order. */
class part_reader
{
public:
    explicit part_reader(std::string_view text) : m_text(text) {}

    bool at_end() const
    {
        return m_text.empty();
    }

    /** Reads a heading; returns nothing when its line feed is missing. */
    std::optional<std::string_view> read_line()
    {
        const std::size_t end = m_text.find('\n');
        if (end == std::string_view::npos) {
            return std::nullopt;
        }
        const std::string_view taken = m_text.substr(0, end);
        m_text.remove_prefix(end + 1);
        return taken;
    }

    /** Reads a body and the line feed after it. */
    std::optional<std::string> read_body(std::size_t bytes)
    {
        if (bytes >= m_text.size() || m_text[bytes] != '\n') {
            return std::nullopt;
        }
        std::string taken(m_text.substr(0, bytes));
        m_text.remove_prefix(bytes + 1);
        return taken;
    }

private:
    std::string_view m_text;
};

/** Removes the first word of a heading and the space after it. */
std::string_view take_word(std::string_view& heading)
{
    const std::size_t space = std::min(heading.find(' '), heading.size());
    const std::string_view word = heading.substr(0, space);
    heading.remove_prefix(std::min(space + 1, heading.size()));
    return word;
}

std::optional<std::size_t> read_size(std::string_view word)
{
    std::size_t size = 0;
    const char* end = word.data() + word.size();
    const auto [rest, error] = std::from_chars(word.data(), end, size);
    if (error != std::errc() || rest != end) {
        return std::nullopt;
    }
    return size;
}

/** One part: its kind (base or overlay), its site and its body. */
struct part
{
    std::string kind;
    published_overlay content;
};

std::optional<part> take_part(part_reader& reader)
{
    auto heading = reader.read_line();
    if (!heading) {
        return std::nullopt;
    }
    part taken;
    taken.kind = take_word(*heading);
    const auto size = read_size(take_word(*heading));
    taken.content.site = *heading;
    if (!size) {
        return std::nullopt;
    }
    auto body = reader.read_body(*size);
    if (!body) {
        return std::nullopt;
    }
    taken.content.text = std::move(*body);
    return taken;
}

} // namespace

std::string revision_text(const published_value& value)
{
    std::vector<published_overlay> overlays = value.overlays;
    std::sort(overlays.begin(), overlays.end(),
              [](const auto& a, const auto& b) { return a.site < b.site; });
    std::string text;
    append_part(text, "base " + std::to_string(value.base.size()), value.base);
    for (const auto& overlay : overlays) {
        append_part(text,
                    "overlay " + std::to_string(overlay.text.size()) + ' ' +
                        overlay.site,
                    overlay.text);
    }
    return text;
}

std::optional<published_value> read_revision_text(std::string_view text,
                                                  revision_number revision)
{
    part_reader reader(text);
    auto base = take_part(reader);
    if (!base || base->kind != "base") {
        return std::nullopt;
    }
    published_value value;
    value.revision = revision;
    value.base = std::move(base->content.text);
    while (!reader.at_end()) {
        auto overlay = take_part(reader);
        if (!overlay || overlay->kind != "overlay") {
            return std::nullopt;
        }
        value.overlays.push_back(std::move(overlay->content));
    }
    return value;
}

std::uint64_t revision_digest(std::string_view text)
{
    return stable_hash(text, digest_seed);
}

} // namespace cranberrywood
