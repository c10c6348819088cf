#include "systems/settings/revision_text.hpp"

#include <algorithm>
#include <charconv>

namespace cranberrywood {

namespace {

constexpr std::uint64_t digest_seed = 0x7265766973696f6e;

void add_part(std::string& text, const std::string& heading,
              const std::string& body)
{
    text += heading;
    text += '\n';
    text += body;
    text += '\n';
}

/** Takes the parts of a text one after the other. */
class part_reader
{
public:
    explicit part_reader(std::string_view text) : m_text(text) {}

    bool at_end() const
    {
        return m_text.empty();
    }

    /** Takes a heading's line; nothing when there is no whole line. */
    std::optional<std::string_view> line()
    {
        const std::size_t end = m_text.find('\n');
        if (end == std::string_view::npos) {
            return std::nullopt;
        }
        const std::string_view taken = m_text.substr(0, end);
        m_text.remove_prefix(end + 1);
        return taken;
    }

    /** Takes a body and the line end after it. */
    std::optional<std::string> body(std::size_t bytes)
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

/** Takes a word and the blank after it from the front of a heading. */
std::string_view take_word(std::string_view& heading)
{
    const std::size_t gap = std::min(heading.find(' '), heading.size());
    const std::string_view word = heading.substr(0, gap);
    heading.remove_prefix(std::min(gap + 1, heading.size()));
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

/** One part: the word of its heading, its site and its body. */
struct part
{
    std::string word;
    published_overlay content;
};

std::optional<part> take_part(part_reader& reader)
{
    auto heading = reader.line();
    if (!heading) {
        return std::nullopt;
    }
    part taken;
    taken.word = take_word(*heading);
    const auto size = read_size(take_word(*heading));
    taken.content.site = *heading;
    if (!size) {
        return std::nullopt;
    }
    auto body = reader.body(*size);
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
    add_part(text, "base " + std::to_string(value.base.size()), value.base);
    for (const auto& overlay : overlays) {
        add_part(text,
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
    if (!base || base->word != "base") {
        return std::nullopt;
    }
    published_value value;
    value.revision = revision;
    value.base = std::move(base->content.text);
    while (!reader.at_end()) {
        auto overlay = take_part(reader);
        if (!overlay || overlay->word != "overlay") {
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
