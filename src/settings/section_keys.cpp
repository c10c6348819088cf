#include "settings/section_keys.hpp"

#include <limits>

namespace cranberrywood {

namespace {

constexpr auto required = presence::required;
constexpr auto optional = presence::optional;
constexpr auto base_only = overlay_use::base_only;
constexpr auto own_site = overlay_use::own_site;
constexpr auto per_site = overlay_use::per_site;

constexpr value_range no_range{};
constexpr std::uint64_t ms = 1'000'000;
constexpr std::uint64_t seconds = 1'000 * ms;

constexpr value_range times(std::uint64_t min, std::uint64_t max)
{
    return {value_unit::time, min, max};
}

constexpr value_range counts(std::uint64_t min, std::uint64_t max)
{
    return {value_unit::count, min, max};
}

constexpr value_range shares()
{
    return {value_unit::share, 1, 1'000'000};
}

} // namespace

template <>
const std::vector<key_spec<fleet_section>>& keys_of()
{
    using entity = fleet_section;
    static const std::vector<key_spec<entity>> keys = {
        {"key_salt", &entity::key_salt, required, base_only, no_range,
         "Salt of the key digests."},
        {"lease", &entity::lease, optional, base_only,
         times(200 * ms, 60 * seconds),
         "Life of a role lease; more than twice renew_every."},
        {"renew_every", &entity::renew_every, optional, base_only,
         times(20 * ms, 20 * seconds), "Interval of role lease renewals."},
        {"heartbeat_every", &entity::heartbeat_every, optional, base_only,
         times(20 * ms, 20 * seconds), "Interval of heartbeats."},
        {"view_life", &entity::view_life, optional, base_only,
         times(200 * ms, 120 * seconds),
         "Age at which a view that nothing confirmed stops keyed requests; "
         "more than twice heartbeat_every."},
        {"clock_drift",
         &entity::clock_drift_ppm,
         optional,
         base_only,
         {value_unit::ppm, 0, 100'000},
         "Largest difference in speed of two VMs' clocks."},
        {"witnesses", &entity::witnesses, optional, base_only, counts(1, 16),
         "VMs that vote on one role lease, at most."},
        {"shared_groups", &entity::shared_groups, optional, base_only,
         counts(1, 4096), "Role groups of homes and request ids."},
        {"groups_per_data_centre", &entity::groups_per_data_centre, optional,
         base_only, counts(1, 1024),
         "Role groups of one data centre's backend servers."},
        {"readers_per_data_centre", &entity::readers_per_data_centre, optional,
         base_only, counts(1, 64),
         "VMs of one data centre that read the configuration service."},
        {"list_every", &entity::list_every, optional, base_only,
         times(100 * ms, 60 * seconds), "Interval of VM list reads."},
        {"resend_window", &entity::resend_window, optional, base_only,
         times(1 * seconds, 3600 * seconds),
         "Time for which results of non-repeatable requests are kept."},
        {"balancer_lag", &entity::balancer_lag, optional, base_only,
         times(0, 120 * seconds),
         "Time that the balancer needs to see a VM that is not ready."},
        {"drain_limit", &entity::drain_limit, optional, base_only,
         times(100 * ms, 600 * seconds),
         "Longest wait of a leaving VM for work in flight."},
        {"quarantine", &entity::quarantine, optional, base_only,
         times(1 * seconds, 86400 * seconds),
         "Time for which a request that crashes servers is refused."},
        {"max_requests", &entity::max_requests, optional, base_only,
         counts(1, 1'000'000), "Requests that one VM works on at a time."},
        {"max_body",
         &entity::max_body_bytes,
         optional,
         base_only,
         {value_unit::bytes, 256, 1U << 20U},
         "Largest request body."},
    };
    return keys;
}

template <>
const std::vector<key_spec<data_centre_settings>>& keys_of()
{
    using entity = data_centre_settings;
    static const std::vector<key_spec<entity>> keys = {
        {"site", &entity::site, required, base_only, no_range,
         "Site whose overlay applies to the data centre's VMs."},
        {"region", &entity::region, optional, base_only, no_range,
         "Region of the data centre."},
        {"in_service", &entity::in_service, optional, own_site, no_range,
         "Whether the data centre gets work."},
    };
    return keys;
}

template <>
const std::vector<key_spec<vm_settings>>& keys_of()
{
    using entity = vm_settings;
    static const std::vector<key_spec<entity>> keys = {
        {"data_centre", &entity::data_centre, required, base_only, no_range,
         "Data centre of the VM."},
        {"host", &entity::host, required, base_only, no_range,
         "IP number of the VM."},
        {"peer_port", &entity::peer_port, required, base_only, counts(1, 65535),
         "Port for other VMs."},
        {"http_port", &entity::http_port, required, base_only, counts(1, 65535),
         "Port for callers and operators."},
    };
    return keys;
}

template <>
const std::vector<key_spec<service_settings>>& keys_of()
{
    using entity = service_settings;
    static const std::vector<key_spec<entity>> keys = {
        {"slots", &entity::slots, required, base_only, counts(1, 10'000),
         "Requests that one backend server runs at a time."},
        {"connections", &entity::connections, required, base_only,
         counts(1, 100'000),
         "Connections that one backend server accepts from all VMs."},
        {"connection_cost", &entity::connection_cost, required, base_only,
         times(0, 10 * seconds),
         "Time that a backend server needs for one "
         "new connection."},
        {"cold_limit", &entity::cold_limit, optional, base_only,
         counts(1, 10'000),
         "Requests at a time that a cold backend server bears; at most "
         "slots."},
        {"queue_limit", &entity::queue_limit, optional, base_only,
         counts(0, 100'000), "Requests that may wait for one backend server."},
        {"index_version", &entity::index, required, base_only,
         counts(1, std::numeric_limits<std::uint64_t>::max()),
         "Index version at publication."},
        {"shard_map_version", &entity::map, required, base_only,
         counts(1, std::numeric_limits<std::uint64_t>::max()),
         "Version of the shard map."},
        {"open", &entity::open, optional, base_only, no_range,
         "Whether the route needs no key."},
        {"default_deadline", &entity::default_deadline, optional, per_site,
         times(1 * ms, 600 * seconds),
         "Deadline of a request that names none."},
        {"max_deadline", &entity::max_deadline, optional, per_site,
         times(1 * ms, 600 * seconds),
         "Longest deadline that a request may "
         "name."},
        {"max_hits", &entity::max_hits, optional, per_site, counts(1, 100'000),
         "Largest hit limit of a request."},
        {"extra_sends",
         &entity::extra_send_percent,
         optional,
         per_site,
         {value_unit::percent, 0, 100},
         "Hedges and retries per hundred first sends."},
    };
    return keys;
}

template <>
const std::vector<key_spec<shard_plan>>& keys_of()
{
    using entity = shard_plan;
    static const std::vector<key_spec<entity>> keys = {
        {"count", &entity::count, required, base_only, counts(1, 100'000),
         "Shards, named SERVICE/s0, SERVICE/s1 and so on."},
        {"keys", &entity::keys, required, base_only, no_range,
         "Shard keys, split evenly over the shards."},
        {"replicas", &entity::replicas, required, base_only, counts(1, 16),
         "Backend servers per shard, named SERVICE-s0-r0 and so on."},
        {"data_centres", &entity::data_centres, required, base_only, no_range,
         "Replica R of shard S stands in data centre (S + R) modulo their "
         "number."},
        {"hosts", &entity::hosts, required, base_only, no_range,
         "IP number per data centre, or one for all."},
        {"first_port", &entity::first_port, required, base_only,
         counts(1, 65535),
         "Port of the first backend server; replica R of shard S has "
         "first_port + S * replicas + R."},
    };
    return keys;
}

template <>
const std::vector<key_spec<shard_settings>>& keys_of()
{
    using entity = shard_settings;
    static const std::vector<key_spec<entity>> keys = {
        {"keys", &entity::keys, required, base_only, no_range,
         "Shard keys, both ends included."},
    };
    return keys;
}

template <>
const std::vector<key_spec<backend_server_settings>>& keys_of()
{
    using entity = backend_server_settings;
    static const std::vector<key_spec<entity>> keys = {
        {"shard", &entity::shard, required, base_only, no_range,
         "Shard that the backend server holds, as SERVICE/SHARD."},
        {"data_centre", &entity::data_centre, required, base_only, no_range,
         "Data centre of the backend server."},
        {"host", &entity::host, required, base_only, no_range,
         "IP number of the backend server."},
        {"port", &entity::port, required, base_only, counts(1, 65535),
         "Port of the backend server."},
        {"in_service", &entity::in_service, optional, own_site, no_range,
         "Whether the backend server gets work."},
    };
    return keys;
}

template <>
const std::vector<key_spec<workspace_settings>>& keys_of()
{
    using entity = workspace_settings;
    static const std::vector<key_spec<entity>> keys = {
        {"key_digests", &entity::keys, optional, base_only, no_range,
         "Digests of the keys that are granted."},
        {"rate",
         &entity::rate_milli,
         required,
         base_only,
         {value_unit::rate, 1, 1'000'000'000'000},
         "Requests per second over all VMs."},
        {"burst",
         &entity::burst_milli,
         required,
         base_only,
         {value_unit::milli, 1'000, 1'000'000'000'000},
         "Requests at once over all VMs."},
        {"weight", &entity::weight, optional, base_only, counts(1, 1000),
         "Share of the backend servers beside other workspaces."},
        {"services", &entity::services, optional, base_only, no_range,
         "Services that the workspace may use; none stands for all."},
    };
    return keys;
}

template <>
const std::vector<key_spec<rule_settings>>& keys_of()
{
    using entity = rule_settings;
    static const std::vector<key_spec<entity>> keys = {
        {"effect", &entity::effect, required, per_site, no_range,
         "`refuse` requests, `keep_within` data centres, or `leave_out` "
         "shards."},
        {"enabled", &entity::enabled, optional, per_site, no_range,
         "Whether the rule is in force."},
        {"workspaces", &entity::workspaces, optional, per_site, no_range,
         "Workspaces that the rule is about; none stands for all."},
        {"services", &entity::services, optional, per_site, no_range,
         "Services that the rule is about; none stands for all."},
        {"data_centres", &entity::data_centres, optional, per_site, no_range,
         "Data centres that requests are kept within."},
        {"shards", &entity::shards, optional, per_site, no_range,
         "Shards that are left out, as SERVICE/SHARD."},
    };
    return keys;
}

template <>
const std::vector<key_spec<service_level_settings>>& keys_of()
{
    using entity = service_level_settings;
    static const std::vector<key_spec<entity>> keys = {
        {"service", &entity::service, required, per_site, no_range,
         "Service that the level is about."},
        {"latency_target", &entity::latency_target, optional, per_site,
         times(1 * ms, 600 * seconds), "Latency that counts as good."},
        {"latency_objective", &entity::latency_objective_ppm, optional,
         per_site, shares(), "Share of answers within the target."},
        {"coverage_objective", &entity::coverage_objective_ppm, optional,
         per_site, shares(), "Share of answers of full coverage."},
        {"refusal_objective", &entity::refusal_objective_ppm, optional,
         per_site, shares(),
         "Share of requests within the rate that are not refused."},
    };
    return keys;
}

const char* name_of(rule_effect effect)
{
    switch (effect) {
    case rule_effect::refuse:
        return "refuse";
    case rule_effect::keep_within:
        return "keep_within";
    case rule_effect::leave_out:
        return "leave_out";
    }
    return "";
}

} // namespace cranberrywood
