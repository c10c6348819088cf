#include "systems/queries/service_levels.hpp"

#include <algorithm>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;

constexpr std::array<duration, 4> window_lengths = {5min, 30min, 1h, 6h};
constexpr duration longest_window = window_lengths.back();
constexpr duration default_target = 320ms;

std::int64_t minute_of(time_point t)
{
    return std::chrono::floor<std::chrono::minutes>(t.time_since_epoch())
        .count();
}

bool is_short(const coverage& covers)
{
    return std::any_of(covers.shards.begin(), covers.shards.end(),
                       [](const shard_coverage& s) {
                           return !s.covered && !s.left_out_by_rule;
                       });
}

const error_detail* error_of(const response& answer)
{
    if (const auto* r = std::get_if<not_run>(&answer)) {
        return &r->error();
    }
    if (const auto* r = std::get_if<outcome_unknown>(&answer)) {
        return &r->error;
    }
    if (const auto* r = std::get_if<failed>(&answer)) {
        return &r->error;
    }
    return nullptr;
}

level_counts counts_of(const response& answer, bool late)
{
    level_counts counts;
    counts.requests = 1;
    if (const error_detail* error = error_of(answer)) {
        const bool over = error->why == reason::over_rate;
        (over ? counts.over_rate : counts.refused) = 1;
        return counts;
    }
    counts.late = late ? 1 : 0;
    counts.short_of_whole = is_short(std::get<answered>(answer).covers) ? 1 : 0;
    return counts;
}

} // namespace

void service_levels::settings_changed(
    std::shared_ptr<const settings_index> settings)
{
    m_settings = std::move(settings);
}

duration service_levels::target_of(service_id service) const
{
    for (const auto& level : m_settings->all().service_levels) {
        if (level.service == service) {
            return level.latency_target;
        }
    }
    return default_target;
}

void service_levels::record_answer(workspace_id workspace, service_id service,
                                   const response& answer, duration took,
                                   time_point now)
{
    auto& minutes = m_minutes[{workspace, service}];
    const std::int64_t number = minute_of(now);
    if (minutes.empty() || minutes.back().number != number) {
        minutes.push_back({number, {}});
    }
    while (minutes.front().number <= minute_of(now - longest_window)) {
        minutes.pop_front();
    }
    minutes.back().counts += counts_of(answer, took > target_of(service));
}

std::vector<level_report> service_levels::report(time_point now) const
{
    std::vector<level_report> reports;
    for (const auto& [key, minutes] : m_minutes) {
        level_report r{key.first, key.second, {}};
        for (const duration length : window_lengths) {
            level_report::window window{length, {}};
            for (const minute& m : minutes) {
                if (m.number > minute_of(now - length)) {
                    window.counts += m.counts;
                }
            }
            r.windows.push_back(window);
        }
        reports.push_back(std::move(r));
    }
    return reports;
}

} // namespace cranberrywood
