#include "io/request_json.hpp"

#include <nlohmann/json.hpp>
#include <set>

namespace cranberrywood {

namespace {

using nlohmann::json;

constexpr std::uint64_t default_hit_limit = 10;
constexpr std::uint64_t max_hit_limit = 1'000'000;
/** Longest deadline that is not taken for a mistake: one hour. */
constexpr std::uint64_t max_deadline_ms = 3'600'000;

/** Reads the fields of one JSON object and keeps the first fault. */
class field_reader
{
public:
    explicit field_reader(const json& object) : m_object(object) {}

    std::string text(const char* name)
    {
        const json* value = find(name);
        if (value == nullptr) {
            fail(reason::malformed, name, "is missing");
            return {};
        }
        if (!value->is_string()) {
            fail(reason::malformed, name, "must be a string");
            return {};
        }
        return value->get<std::string>();
    }

    std::string required_text(const char* name)
    {
        std::string value = text(name);
        if (value.empty()) {
            fail(reason::malformed, name, "must not be empty");
        }
        return value;
    }

    std::uint64_t number(const char* name)
    {
        const json* value = find(name);
        if (value == nullptr) {
            fail(reason::malformed, name, "is missing");
            return 0;
        }
        if (!value->is_number_unsigned()) {
            fail(reason::malformed, name, "must be a whole number from 0");
            return 0;
        }
        return value->get<std::uint64_t>();
    }

    std::uint32_t hit_limit()
    {
        if (find("hit_limit") == nullptr) {
            return default_hit_limit;
        }
        const std::uint64_t value = number("hit_limit");
        if (value == 0 || value > max_hit_limit) {
            fail(reason::malformed, "hit_limit", "is out of range");
            return 0;
        }
        return static_cast<std::uint32_t>(value);
    }

    duration deadline()
    {
        const json* value = find("deadline_ms");
        const bool whole = value != nullptr && value->is_number_unsigned();
        const std::uint64_t ms = whole ? value->get<std::uint64_t>() : 0;
        if (ms == 0 || ms > max_deadline_ms) {
            fail(reason::deadline_invalid, "deadline_ms",
                 "must be a whole number of milliseconds from 1 to " +
                     std::to_string(max_deadline_ms));
            return {};
        }
        return std::chrono::milliseconds(ms);
    }

    /** Returns the first fault; unknown fields count when there is none. */
    const request_fault* fault()
    {
        for (auto it = m_object.begin(); it != m_object.end(); ++it) {
            if (m_known.count(it.key()) == 0) {
                fail(reason::malformed, it.key(), "is not a known field");
            }
        }
        return m_failed ? &m_fault : nullptr;
    }

private:
    const json* find(const char* name)
    {
        m_known.insert(name);
        const auto it = m_object.find(name);
        return it == m_object.end() ? nullptr : &*it;
    }

    void fail(reason why, const std::string& name, const std::string& what)
    {
        if (!m_failed) {
            m_failed = true;
            m_fault = {why, name, what};
        }
    }

    const json& m_object;
    std::set<std::string> m_known;
    bool m_failed = false;
    request_fault m_fault;
};

} // namespace

std::variant<caller_request, request_fault>
read_request(const std::string& text, request_kind kind)
{
    const json object = json::parse(text, nullptr, false);
    if (object.is_discarded() || !object.is_object()) {
        return request_fault{reason::malformed, "", "is not a JSON object"};
    }
    field_reader fields(object);
    caller_request request;
    request.service = fields.required_text("service");
    request.deadline = fields.deadline();
    request.hit_limit = fields.hit_limit();
    request.body = fields.text("body");
    if (kind == request_kind::lookup) {
        request.caller_request_id = fields.required_text("request_id");
        request.lookup_key = fields.number("key");
    }
    if (const request_fault* fault = fields.fault()) {
        return *fault;
    }
    return request;
}

} // namespace cranberrywood
