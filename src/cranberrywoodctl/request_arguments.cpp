#include "cranberrywoodctl/request_arguments.hpp"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>

namespace cranberrywood::ctl {

namespace {

using nlohmann::json;

// Time for the answer to travel after the deadline.
constexpr std::chrono::milliseconds answer_margin{2000};

void print_coverage(const json& coverage)
{
    std::cout << "coverage: " << coverage.value("covered_keys", 0ULL) << " of "
              << coverage.value("total_keys", 0ULL) << " keys, index version "
              << coverage.value("index_version", 0ULL) << ", shard map "
              << coverage.value("shard_map_version", 0ULL) << '\n';
    for (const auto& range : coverage.value("missing", json::array())) {
        std::cout << "  missing: " << range.value("first_key", 0ULL) << '-'
                  << range.value("last_key", 0ULL)
                  << (range.value("by_rule", false) ? " by rule" : "") << '\n';
    }
}

void print_answered(const json& answer)
{
    for (const auto& hit : answer.value("hits", json::array())) {
        std::cout << hit.value("score", 0.0) << '\t' << hit.value("key", "")
                  << '\t' << hit.value("text", "") << '\n';
    }
    print_coverage(answer.value("coverage", json::object()));
}

void print_refusal(int status, const json& answer)
{
    std::cout << answer.value("outcome", "failed") << " (HTTP " << status
              << ")";
    for (const char* field : {"reason", "step", "peer", "field", "message"}) {
        if (answer.contains(field)) {
            std::cout << ' ' << field << '=' << answer[field].dump();
        }
    }
    std::cout << '\n';
}

int print_body(int status, const json& body, bool as_json)
{
    const bool answered = body.at("outcome").get<std::string>() == "answered";
    if (as_json) {
        std::cout << body.dump() << '\n';
    } else if (answered) {
        print_answered(body);
    } else {
        print_refusal(status, body);
    }
    return answered ? exit_ok : exit_no;
}

} // namespace

request_arguments::request_arguments(TCLAP::CmdLine& line)
    : m_service("s", "service", "Service to ask", true, "", "SERVICE", line),
      m_key("k", "key", "Workspace key; else taken from CRANBERRYWOOD_KEY",
            false, "", "KEY", line),
      m_deadline("d", "deadline", "Deadline in milliseconds", false, 320, "MS",
                 line),
      m_hits("n", "hits", "Hits at most", false, 10, "COUNT", line),
      m_body("b", "body", "What to search for", false, "", "TEXT", line)
{
}

std::string request_arguments::key() const
{
    if (m_key.isSet()) {
        return m_key.getValue();
    }
    const char* from_environment = std::getenv("CRANBERRYWOOD_KEY");
    return from_environment == nullptr ? "" : from_environment;
}

std::string request_arguments::query_json() const
{
    const json body{{"service", m_service.getValue()},
                    {"deadline_ms", m_deadline.getValue()},
                    {"hit_limit", m_hits.getValue()},
                    {"body", m_body.getValue()}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string request_arguments::lookup_json(const std::string& request_id,
                                           std::uint64_t shard_key) const
{
    json body = json::parse(query_json());
    body["request_id"] = request_id;
    body["key"] = shard_key;
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::chrono::milliseconds request_arguments::timeout() const
{
    return std::chrono::milliseconds(m_deadline.getValue()) + answer_margin;
}

int print_answer(const vm_result& result, bool as_json)
{
    if (const auto* unreachable = std::get_if<vm_unreachable>(&result)) {
        std::cerr << unreachable->vm << ": " << unreachable->why << '\n';
        return exit_no;
    }
    const auto& answer = std::get<vm_answer>(result);
    try {
        return print_body(answer.status, json::parse(answer.body), as_json);
    } catch (const json::exception&) {
        std::cerr << "HTTP " << answer.status
                  << " with a body that is no answer\n";
        return exit_no;
    }
}

} // namespace cranberrywood::ctl
