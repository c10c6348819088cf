#include "cranberrywoodctl/load_report.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace cranberrywood::ctl {

namespace {

using nlohmann::json;
using milliseconds = std::chrono::duration<double, std::milli>;

struct named_quantile
{
    const char* name;
    double share;
};

constexpr std::array<named_quantile, 5> quantiles = {
    {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}, {"max", 1}}};

double ratio(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

void load_report::add(const vm_result& result,
                      std::chrono::microseconds latency)
{
    ++m_requests;
    if (const auto* answer = std::get_if<vm_answer>(&result)) {
        add_answer(*answer, latency);
    } else {
        ++m_refusals["unreachable " + std::get<vm_unreachable>(result).why];
    }
}

void load_report::add(const load_report& other)
{
    m_requests += other.m_requests;
    m_whole += other.m_whole;
    m_covered_keys += other.m_covered_keys;
    m_total_keys += other.m_total_keys;
    for (const auto& [kind, count] : other.m_refusals) {
        m_refusals[kind] += count;
    }
    m_latencies.insert(m_latencies.end(), other.m_latencies.begin(),
                       other.m_latencies.end());
}

void load_report::add_answer(const vm_answer& answer,
                             std::chrono::microseconds latency)
{
    try {
        add_body(json::parse(answer.body), latency);
    } catch (const json::exception&) {
        ++m_refusals["HTTP " + std::to_string(answer.status)];
    }
}

void load_report::add_body(const nlohmann::json& body,
                           std::chrono::microseconds latency)
{
    const auto outcome = body.at("outcome").get<std::string>();
    if (outcome != "answered") {
        ++m_refusals[outcome + ' ' + body.at("reason").get<std::string>()];
        return;
    }
    const json& coverage = body.at("coverage");
    const bool whole = coverage.at("whole").get<bool>();
    const auto covered = coverage.at("covered_keys").get<std::uint64_t>();
    const auto total = coverage.at("total_keys").get<std::uint64_t>();
    m_latencies.push_back(latency);
    m_whole += whole ? 1 : 0;
    m_covered_keys += covered;
    m_total_keys += total;
}

std::chrono::microseconds load_report::quantile(double share) const
{
    if (m_latencies.empty()) {
        return std::chrono::microseconds(0);
    }
    auto sorted = m_latencies;
    const auto last = static_cast<double>(sorted.size() - 1);
    const auto at = static_cast<std::ptrdiff_t>(std::lround(share * last));
    std::nth_element(sorted.begin(), sorted.begin() + at, sorted.end());
    return sorted[static_cast<std::size_t>(at)];
}

std::string load_report::text(std::chrono::duration<double> took) const
{
    std::ostringstream out;
    out.precision(4);
    out << "requests " << m_requests << " in " << took.count() << " s, "
        << static_cast<double>(m_requests) / took.count() << "/s\n"
        << "answered " << answered() << ", whole " << m_whole
        << ", keys covered " << 100 * ratio(m_covered_keys, m_total_keys)
        << "%\nlatency of answers";
    for (const auto& each : quantiles) {
        out << "  " << each.name << ' '
            << milliseconds(quantile(each.share)).count() << " ms";
    }
    out << '\n';
    for (const auto& [kind, count] : m_refusals) {
        out << "refused " << count << "  " << kind << '\n';
    }
    return out.str();
}

std::string load_report::json_text(std::chrono::duration<double> took) const
{
    json latency;
    for (const auto& each : quantiles) {
        latency[each.name] = milliseconds(quantile(each.share)).count();
    }
    const json body{
        {"requests", m_requests},         {"seconds", took.count()},
        {"answered", answered()},         {"whole", m_whole},
        {"covered_keys", m_covered_keys}, {"total_keys", m_total_keys},
        {"latency_ms", latency},          {"refusals", m_refusals}};
    return body.dump(2) + '\n';
}

} // namespace cranberrywood::ctl
