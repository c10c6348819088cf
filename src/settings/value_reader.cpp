#include "settings/value_reader.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

constexpr std::size_t max_text_bytes = 128;

std::string no_such(const char* kind, std::string_view name)
{
    return std::string("no ") + kind + " is named " + std::string(name);
}

} // namespace

std::optional<std::string> known_names::add(std::uint64_t id,
                                            const std::string& name)
{
    const auto [found, added] = m_names.try_emplace(id, name);
    if (added || found->second == name) {
        return std::nullopt;
    }
    return found->second;
}

template <class Number>
value_reader::failure value_reader::number(Number& out) const
{
    const number_result result = read_number(m_text, m_range);
    if (const auto* why = std::get_if<std::string>(&result)) {
        return *why;
    }
    out = static_cast<Number>(std::get<std::uint64_t>(result));
    return std::nullopt;
}

template <class Id>
value_reader::failure value_reader::name(Id& out, const known_names& known,
                                         const char* kind) const
{
    out = id_of<Id>(m_text);
    if (!known.has(out.value())) {
        return no_such(kind, m_text);
    }
    return std::nullopt;
}

template <class Id>
value_reader::failure value_reader::names(std::vector<Id>& out,
                                          const known_names& known,
                                          const char* kind) const
{
    out.clear();
    if (m_text == all_names) {
        return std::nullopt;
    }
    // An emptied list must not widen what it restricts.
    const auto items = split_list(m_text);
    if (items.empty()) {
        return "expected names, or `all`";
    }
    for (const auto item : items) {
        const Id id = id_of<Id>(item);
        if (!known.has(id.value())) {
            return no_such(kind, item);
        }
        if (std::find(out.begin(), out.end(), id) != out.end()) {
            return std::string(item) + " stands twice";
        }
        out.push_back(id);
    }
    return std::nullopt;
}

value_reader::failure value_reader::operator()(duration& out) const
{
    duration::rep count = out.count();
    failure why = number(count);
    out = duration(count);
    return why;
}

value_reader::failure value_reader::operator()(std::uint16_t& out) const
{
    return number(out);
}

value_reader::failure value_reader::operator()(std::uint32_t& out) const
{
    return number(out);
}

value_reader::failure value_reader::operator()(std::uint64_t& out) const
{
    return number(out);
}

value_reader::failure value_reader::operator()(index_version& out) const
{
    return number(out);
}

value_reader::failure value_reader::operator()(shard_map_version& out) const
{
    return number(out);
}

value_reader::failure value_reader::operator()(bool& out) const
{
    out = m_text == "true";
    if (!out && m_text != "false") {
        return "expected true or false";
    }
    return std::nullopt;
}

value_reader::failure value_reader::operator()(std::string& out) const
{
    out = m_text;
    if (out.empty() || out.size() > max_text_bytes) {
        return "expected a text of 1 to 128 bytes";
    }
    return std::nullopt;
}

value_reader::failure value_reader::operator()(key_range& out) const
{
    const auto range = read_key_range(m_text);
    if (!range) {
        return "expected first-last, two whole numbers in order";
    }
    out = *range;
    return std::nullopt;
}

value_reader::failure value_reader::operator()(rule_effect& out) const
{
    for (const auto effect : {rule_effect::refuse, rule_effect::keep_within,
                              rule_effect::leave_out}) {
        if (m_text == name_of(effect)) {
            out = effect;
            return std::nullopt;
        }
    }
    return "expected refuse, keep_within or leave_out";
}

value_reader::failure value_reader::operator()(data_centre_id& out) const
{
    return name(out, m_names.data_centres, "data centre");
}

value_reader::failure value_reader::operator()(service_id& out) const
{
    return name(out, m_names.services, "service");
}

value_reader::failure value_reader::operator()(shard_id& out) const
{
    return name(out, m_names.shards, "shard");
}

value_reader::failure
value_reader::operator()(std::vector<data_centre_id>& out) const
{
    return names(out, m_names.data_centres, "data centre");
}

value_reader::failure
value_reader::operator()(std::vector<service_id>& out) const
{
    return names(out, m_names.services, "service");
}

value_reader::failure
value_reader::operator()(std::vector<workspace_id>& out) const
{
    return names(out, m_names.workspaces, "workspace");
}

value_reader::failure value_reader::operator()(std::vector<shard_id>& out) const
{
    return names(out, m_names.shards, "shard");
}

value_reader::failure
value_reader::operator()(std::vector<key_digest>& out) const
{
    out.clear();
    for (const auto item : split_list(m_text)) {
        const auto digest = read_digest(item);
        if (!digest) {
            return "expected digests of 64 hexadecimal digits";
        }
        out.push_back(*digest);
    }
    return std::nullopt;
}

value_reader::failure
value_reader::operator()(std::vector<std::string>& out) const
{
    out.clear();
    for (const auto item : split_list(m_text)) {
        out.emplace_back(item);
    }
    return std::nullopt;
}

} // namespace cranberrywood
