#ifndef CRANBERRYWOOD_SETTINGS_VALUE_READER_HPP
#define CRANBERRYWOOD_SETTINGS_VALUE_READER_HPP

#include "settings/section_keys.hpp"

#include <unordered_map>

namespace cranberrywood {

/** Names of one kind by their ids; finds names whose ids collide. */
class known_names
{
public:
    /** Adds a name; returns the other name that has its id, if one has. */
    std::optional<std::string> add(std::uint64_t id, const std::string& name);

    /** Returns whether a name of that id was added. */
    bool has(std::uint64_t id) const
    {
        return m_names.count(id) != 0;
    }

private:
    std::unordered_map<std::uint64_t, std::string> m_names;
};

/** Names that values may refer to. */
struct reference_names
{
    known_names data_centres;
    known_names services;
    known_names workspaces;
    known_names shards;
};

/**
 * Visitor that reads a field's text into the member that it sets. Each call
 * returns why the text is no value of the member's type, if it is none.
 */
class value_reader
{
public:
    using failure = std::optional<std::string>;

    value_reader(std::string_view text, const value_range& range,
                 const reference_names& names)
        : m_text(text), m_range(range), m_names(names)
    {
    }

    failure operator()(duration& out) const;
    failure operator()(std::uint16_t& out) const;
    failure operator()(std::uint32_t& out) const;
    failure operator()(std::uint64_t& out) const;
    failure operator()(index_version& out) const;
    failure operator()(shard_map_version& out) const;
    failure operator()(bool& out) const;
    failure operator()(std::string& out) const;
    failure operator()(key_range& out) const;
    failure operator()(rule_effect& out) const;
    failure operator()(data_centre_id& out) const;
    failure operator()(service_id& out) const;
    failure operator()(shard_id& out) const;
    failure operator()(std::vector<data_centre_id>& out) const;
    failure operator()(std::vector<service_id>& out) const;
    failure operator()(std::vector<workspace_id>& out) const;
    failure operator()(std::vector<shard_id>& out) const;
    failure operator()(std::vector<key_digest>& out) const;
    failure operator()(std::vector<std::string>& out) const;

private:
    template <class Number>
    failure number(Number& out) const;
    template <class Id>
    failure name(Id& out, const known_names& known, const char* kind) const;
    template <class Id>
    failure names(std::vector<Id>& out, const known_names& known,
                  const char* kind) const;

    std::string_view m_text;
    const value_range& m_range;
    const reference_names& m_names;
};

} // namespace cranberrywood

#endif
