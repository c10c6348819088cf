#include "cranberrywoodctl/burn_report.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <tuple>

namespace cranberrywood::ctl {

namespace {

using nlohmann::json;

constexpr double millionths = 1e6;

/** Returns the share of bad events over the share that the objective lets. */
burn_rate burn_of(std::uint64_t bad, std::uint64_t all,
                  std::uint64_t objective_ppm)
{
    if (all == 0) {
        return std::nullopt;
    }
    const double share = static_cast<double>(bad) / static_cast<double>(all);
    // An objective of 100% has no budget; one millionth stands for it.
    const double budget =
        std::max(1.0, millionths - static_cast<double>(objective_ppm));
    return share * millionths / budget;
}

std::uint64_t less(std::uint64_t all, std::uint64_t part)
{
    return all > part ? all - part : 0;
}

level_counts counts_of(const json& window)
{
    level_counts counts;
    counts.requests = window.at("requests").get<std::uint64_t>();
    counts.late = window.at("late").get<std::uint64_t>();
    counts.short_of_whole = window.at("short_of_whole").get<std::uint64_t>();
    counts.refused = window.at("refused").get<std::uint64_t>();
    counts.over_rate = window.at("over_rate").get<std::uint64_t>();
    return counts;
}

std::string burn_cell(const burn_rate& burn)
{
    if (!burn) {
        return "-";
    }
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << *burn;
    return out.str();
}

json burn_value(const burn_rate& burn)
{
    return burn ? json(*burn) : json();
}

} // namespace

bool burn_report::row_key::operator<(const row_key& other) const
{
    return std::tie(workspace, service, window_seconds) <
           std::tie(other.workspace, other.service, other.window_seconds);
}

void burn_report::use_levels(const settings_index& settings)
{
    for (const auto& level : settings.all().service_levels) {
        if (const auto* service = settings.find(level.service)) {
            m_levels[service->name] = level;
        }
    }
}

bool burn_report::add_status(const std::string& text)
{
    std::map<row_key, level_counts> added;
    try {
        const json status = json::parse(text);
        for (const auto& level : status.at("levels")) {
            for (const auto& window : level.at("windows")) {
                const row_key key{level.at("workspace").get<std::string>(),
                                  level.at("service").get<std::string>(),
                                  window.at("length_s").get<double>()};
                added[key] += counts_of(window);
            }
        }
    } catch (const json::exception&) {
        return false;
    }
    for (const auto& [key, counts] : added) {
        m_counts[key] += counts;
    }
    return true;
}

std::vector<burn_row> burn_report::rows() const
{
    std::vector<burn_row> rows;
    for (const auto& [key, counts] : m_counts) {
        const auto known = m_levels.find(key.service);
        const service_level_settings level =
            known == m_levels.end() ? service_level_settings() : known->second;
        const std::uint64_t within = less(counts.requests, counts.over_rate);
        const std::uint64_t answers = less(within, counts.refused);
        burn_row row;
        row.workspace = key.workspace;
        row.service = key.service;
        row.window_seconds = key.window_seconds;
        row.counts = counts;
        row.latency =
            burn_of(counts.late, answers, level.latency_objective_ppm);
        row.coverage = burn_of(counts.short_of_whole, answers,
                               level.coverage_objective_ppm);
        row.refusals =
            burn_of(counts.refused, within, level.refusal_objective_ppm);
        rows.push_back(std::move(row));
    }
    return rows;
}

std::string burn_text(const std::vector<burn_row>& rows)
{
    std::ostringstream out;
    out << std::left << std::setw(20) << "workspace" << std::setw(16)
        << "service" << std::right << std::setw(8) << "window" << std::setw(12)
        << "requests" << std::setw(10) << "latency" << std::setw(10)
        << "coverage" << std::setw(10) << "refusals" << '\n';
    for (const auto& row : rows) {
        out << std::left << std::setw(20) << row.workspace << std::setw(16)
            << row.service << std::right << std::setw(8)
            << window_text(row.window_seconds) << std::setw(12)
            << row.counts.requests << std::setw(10) << burn_cell(row.latency)
            << std::setw(10) << burn_cell(row.coverage) << std::setw(10)
            << burn_cell(row.refusals) << '\n';
    }
    return out.str();
}

std::string burn_json(const std::vector<burn_row>& rows)
{
    json all = json::array();
    for (const auto& row : rows) {
        all.push_back({{"workspace", row.workspace},
                       {"service", row.service},
                       {"window_s", row.window_seconds},
                       {"requests", row.counts.requests},
                       {"late", row.counts.late},
                       {"short_of_whole", row.counts.short_of_whole},
                       {"refused", row.counts.refused},
                       {"over_rate", row.counts.over_rate},
                       {"latency_burn", burn_value(row.latency)},
                       {"coverage_burn", burn_value(row.coverage)},
                       {"refusal_burn", burn_value(row.refusals)}});
    }
    return all.dump(2) + '\n';
}

std::string window_text(double seconds)
{
    constexpr double minute = 60;
    constexpr double hour = 3600;
    std::ostringstream out;
    if (seconds >= hour) {
        out << seconds / hour << 'h';
    } else if (seconds >= minute) {
        out << seconds / minute << "min";
    } else {
        out << seconds << 's';
    }
    return out.str();
}

} // namespace cranberrywood::ctl
