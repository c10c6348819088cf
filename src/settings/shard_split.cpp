#include "settings/shard_split.hpp"

namespace cranberrywood {

namespace {

constexpr std::uint64_t max_port = 65'535;

shard_settings shard_at(const shard_plan& plan, std::uint32_t number,
                        std::uint64_t first_key)
{
    const std::uint64_t keys = plan.keys.size() / plan.count;
    const std::uint64_t longer = plan.keys.size() % plan.count;
    shard_settings shard;
    shard.name = 's' + std::to_string(number);
    shard.id = shard_id_of(plan.name, shard.name);
    shard.service = plan.service;
    shard.keys.first = first_key;
    shard.keys.last = first_key + keys - (number < longer ? 0 : 1);
    return shard;
}

backend_server_settings replica_at(const shard_plan& plan,
                                   const shard_settings& shard,
                                   std::uint32_t number, std::uint32_t replica)
{
    const std::size_t centre = (number + replica) % plan.data_centres.size();
    backend_server_settings server;
    server.name = plan.name + '-' + shard.name + "-r" + std::to_string(replica);
    server.id = id_of<backend_server_id>(server.name);
    server.service = plan.service;
    server.shard = shard.id;
    server.data_centre = plan.data_centres[centre];
    server.host = plan.hosts[plan.hosts.size() == 1 ? 0 : centre];
    server.port = static_cast<std::uint16_t>(plan.first_port +
                                             number * plan.replicas + replica);
    return server;
}

} // namespace

std::optional<std::string> check_plan(const shard_plan& plan)
{
    const std::uint64_t servers = std::uint64_t{plan.count} * plan.replicas;
    if (plan.data_centres.empty()) {
        return "data_centres must name the data centres";
    }
    if (plan.hosts.size() != 1 &&
        plan.hosts.size() != plan.data_centres.size()) {
        return "hosts must name one host, or one per data centre";
    }
    if (plan.keys.size() < plan.count) {
        return "keys are fewer than the shards";
    }
    if (plan.first_port + servers - 1 > max_port) {
        return "ports do not suffice for the backend servers";
    }
    return std::nullopt;
}

std::vector<planned_shard> split_shards(const shard_plan& plan)
{
    std::vector<planned_shard> shards;
    std::uint64_t first_key = plan.keys.first;
    for (std::uint32_t number = 0; number < plan.count; ++number) {
        planned_shard planned;
        planned.shard = shard_at(plan, number, first_key);
        first_key = planned.shard.keys.last + 1;
        for (std::uint32_t r = 0; r < plan.replicas; ++r) {
            planned.replicas.push_back(
                replica_at(plan, planned.shard, number, r));
        }
        shards.push_back(std::move(planned));
    }
    return shards;
}

} // namespace cranberrywood
