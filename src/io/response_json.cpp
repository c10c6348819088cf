#include "io/response_json.hpp"

#include <nlohmann/json.hpp>

namespace cranberrywood {

namespace {

using nlohmann::json;

std::string dump(const json& value)
{
    // Text of hits may hold any bytes; callers get valid UTF-8.
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string peer_of(const error_detail& error, const settings_index* settings)
{
    if (error.backend_server.is_set()) {
        return settings != nullptr
                   ? settings->name_of(error.backend_server)
                   : std::to_string(error.backend_server.value());
    }
    if (error.peer.is_set()) {
        return settings != nullptr ? settings->name_of(error.peer)
                                   : std::to_string(error.peer.value());
    }
    return {};
}

http_answer refusal(const char* outcome, const error_detail& error,
                    const settings_index* settings)
{
    json body{{"outcome", outcome},
              {"reason", name_of(error.why)},
              {"step", name_of(error.at)}};
    const std::string peer = peer_of(error, settings);
    if (!peer.empty()) {
        body["peer"] = peer;
    }
    if (!error.field.empty()) {
        body["field"] = error.field;
    }
    return {status_of(error.why), outcome, name_of(error.why), dump(body)};
}

json coverage_json(const coverage& c)
{
    json missing = json::array();
    for (const shard_coverage& shard : c.shards) {
        if (!shard.covered) {
            missing.push_back({{"first_key", shard.first_key},
                               {"last_key", shard.last_key},
                               {"by_rule", shard.left_out_by_rule}});
        }
    }
    return {{"whole", c.whole()},
            {"covered_keys", c.covered_keys},
            {"total_keys", c.total_keys},
            {"index_version", c.index.value()},
            {"shard_map_version", c.map.value()},
            {"missing", missing}};
}

http_answer answer(const answered& a)
{
    json hits = json::array();
    for (const hit& h : a.hits) {
        hits.push_back({{"key", h.key}, {"score", h.score}, {"text", h.text}});
    }
    const json body{{"outcome", "answered"},
                    {"hits", hits},
                    {"coverage", coverage_json(a.covers)}};
    return {200, "answered", "", dump(body)};
}

json window_json(const level_report::window& window)
{
    const level_counts& counts = window.counts;
    const std::chrono::duration<double> length = window.length;
    return {
        {"length_s", length.count()}, {"requests", counts.requests},
        {"late", counts.late},        {"short_of_whole", counts.short_of_whole},
        {"refused", counts.refused},  {"over_rate", counts.over_rate}};
}

json levels_json(const std::vector<level_report>& levels,
                 const settings_index* settings)
{
    json all = json::array();
    for (const level_report& level : levels) {
        json windows = json::array();
        for (const level_report::window& window : level.windows) {
            windows.push_back(window_json(window));
        }
        const auto* service =
            settings != nullptr ? settings->find(level.service) : nullptr;
        all.push_back(
            {{"workspace", settings != nullptr
                               ? settings->name_of(level.workspace)
                               : std::to_string(level.workspace.value())},
             {"service", service != nullptr
                             ? service->name
                             : std::to_string(level.service.value())},
             {"windows", windows}});
    }
    return all;
}

} // namespace

http_answer to_http(const response& r, const settings_index* settings)
{
    struct visitor
    {
        const settings_index* settings;

        http_answer operator()(const answered& a) const
        {
            return answer(a);
        }
        http_answer operator()(const not_run& refused) const
        {
            return refusal("not_run", refused.error(), settings);
        }
        http_answer operator()(const outcome_unknown& unknown) const
        {
            return refusal("outcome_unknown", unknown.error, settings);
        }
        http_answer operator()(const failed& f) const
        {
            return refusal("failed", f.error, settings);
        }
    };
    return std::visit(visitor{settings}, r);
}

std::optional<request_kind> kind_of_target(std::string_view target)
{
    if (target == query_target) {
        return request_kind::query;
    }
    if (target == lookup_target) {
        return request_kind::lookup;
    }
    return std::nullopt;
}

http_answer refusal_at_front(int status, reason why, const std::string& field,
                             const std::string& what,
                             std::optional<request_kind> kind)
{
    const char* outcome =
        kind == request_kind::query ? "not_run" : "outcome_unknown";
    json body{{"outcome", outcome},
              {"reason", name_of(why)},
              {"step", name_of(step::front)}};
    if (!field.empty()) {
        body["field"] = field;
    }
    if (!what.empty()) {
        body["message"] = (field.empty() ? "request" : field) + " " + what;
    }
    return {status, outcome, name_of(why), dump(body)};
}

int status_of(reason why)
{
    switch (why) {
    case reason::malformed:
    case reason::deadline_invalid:
        return 400;
    case reason::key_missing:
    case reason::key_unknown:
        return 401;
    case reason::workspace_not_allowed:
    case reason::rule_refused:
    case reason::quarantined:
        return 403;
    case reason::service_unknown:
        return 404;
    case reason::over_rate:
        return 429;
    case reason::deadline_passed:
        return 504;
    case reason::overloaded:
    case reason::view_unconfirmed:
    case reason::not_ready:
    case reason::shutting_down:
    case reason::no_owner:
    case reason::link_lost:
    case reason::server_failed:
    case reason::id_unknown_after_takeover:
    case reason::caller_gone:
        return 503;
    }
    return 503;
}

std::string to_json(const node_status& status, const settings_index* settings)
{
    const std::string name = settings != nullptr
                                 ? settings->name_of(status.vm)
                                 : std::to_string(status.vm.value());
    json body{{"vm", name},
              {"incarnation", std::to_string(status.process.value())},
              {"revision", status.revision.value()},
              {"refused_revision", status.refused_revision},
              {"view_confirmed", status.view_confirmed},
              {"ready", status.ready},
              {"leaving", status.leaving},
              {"groups_held", status.groups_held},
              {"requests_in_flight", status.requests_in_flight},
              {"counters", status.counters},
              {"levels", levels_json(status.levels, settings)}};
    return dump(body);
}

} // namespace cranberrywood
