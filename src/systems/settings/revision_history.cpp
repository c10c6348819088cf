#include "systems/settings/revision_history.hpp"

#include "settings/settings_reader.hpp"
#include "systems/settings/revision_delta.hpp"
#include "systems/settings/revision_text.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

constexpr std::size_t max_deltas = 64;
constexpr std::size_t max_delta_bytes = 262'144;
// The text also holds a heading for each part of the value.
constexpr std::size_t max_text_bytes = max_value_bytes + 65'536;

} // namespace

void revision_history::adopt(revision_number revision, std::string text)
{
    const std::uint64_t digest = revision_digest(text);
    if (m_current.is_set()) {
        std::string delta = make_delta(m_text, text);
        m_delta_bytes += delta.size();
        m_deltas.push_back({revision, m_current, digest, std::move(delta)});
    }
    m_current = revision;
    m_digest = digest;
    m_text = std::move(text);
    while (m_deltas.size() > max_deltas || m_delta_bytes > max_delta_bytes) {
        evict_oldest();
    }
}

std::vector<revision_push>
revision_history::pushes_from(revision_number have) const
{
    if (have >= m_current) {
        return {announcement()};
    }
    const auto first =
        std::find_if(m_deltas.begin(), m_deltas.end(),
                     [have](const auto& delta) { return delta.base == have; });
    if (first != m_deltas.end()) {
        return {first, m_deltas.end()};
    }
    return {{m_current, revision_number(), m_digest, m_text}};
}

std::optional<revision_push> revision_history::newest_delta() const
{
    if (m_deltas.empty()) {
        return std::nullopt;
    }
    return m_deltas.back();
}

revision_push revision_history::announcement() const
{
    return {m_current, m_current, m_digest, {}};
}

bool revision_history::has_delta_from(revision_number have) const
{
    return std::any_of(
        m_deltas.begin(), m_deltas.end(),
        [have](const auto& delta) { return delta.base == have; });
}

std::optional<std::string>
revision_history::restore_text(const revision_push& push) const
{
    std::optional<std::string> text;
    if (!push.base.is_set() && push.body.size() <= max_text_bytes) {
        text = push.body;
    } else if (push.base == m_current && m_current.is_set()) {
        text = apply_delta(m_text, push.body, max_text_bytes);
    }
    if (!text || revision_digest(*text) != push.digest) {
        return std::nullopt;
    }
    return text;
}

void revision_history::evict_oldest()
{
    m_delta_bytes -= m_deltas.front().body.size();
    m_deltas.pop_front();
}

} // namespace cranberrywood
