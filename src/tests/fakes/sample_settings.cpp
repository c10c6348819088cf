#include "fakes/sample_settings.hpp"

#include "systems/settings/key_check.hpp"

namespace cranberrywood::fakes {

namespace {

constexpr std::uint64_t keys_per_shard = 1000;

std::string numbered(const char* prefix, std::uint32_t number)
{
    return prefix + std::to_string(number);
}

void add_shard(settings& s, const sample_shape& shape, std::uint32_t number)
{
    const service_settings& service = s.services.front();
    shard_settings shard;
    shard.name = numbered("s", number);
    shard.id = shard_id_of(service.name, shard.name);
    shard.service = service.id;
    shard.keys.first = number * keys_per_shard;
    shard.keys.last = shard.keys.first + keys_per_shard - 1;
    s.shards.push_back(shard);
    for (std::uint32_t r = 0; r < shape.replicas; ++r) {
        backend_server_settings server;
        server.name = shard.name + numbered("-r", r);
        server.id = id_of<backend_server_id>(server.name);
        server.service = service.id;
        server.shard = shard.id;
        server.data_centre = s.data_centres[r % shape.data_centres].id;
        s.backend_servers.push_back(server);
    }
}

} // namespace

settings sample_settings(const sample_shape& shape)
{
    settings s;
    s.revision = revision_number(1);
    s.site = "site-0";
    s.key_salt = "salt";
    for (std::uint32_t i = 0; i < shape.data_centres; ++i) {
        data_centre_settings centre;
        centre.name = numbered("dc-", i);
        centre.id = id_of<data_centre_id>(centre.name);
        centre.site = s.site;
        s.data_centres.push_back(centre);
    }
    for (std::uint32_t i = 0; i < shape.vms; ++i) {
        vm_settings vm;
        vm.name = numbered("vm-", i);
        vm.id = id_of<vm_id>(vm.name);
        vm.data_centre = s.data_centres[i % shape.data_centres].id;
        s.vms.push_back(vm);
    }
    service_settings service;
    service.name = "search";
    service.id = id_of<service_id>(service.name);
    service.slots = 2;
    service.connections = 25;
    service.index = index_version(1);
    service.map = shard_map_version(1);
    s.services.push_back(service);
    for (std::uint32_t i = 0; i < shape.shards; ++i) {
        add_shard(s, shape, i);
    }
    for (std::uint32_t i = 0; i < shape.workspaces; ++i) {
        workspace_settings workspace;
        workspace.name = numbered("w", i);
        workspace.id = id_of<workspace_id>(workspace.name);
        workspace.keys = {digest_of(s.key_salt, "key-" + workspace.name)};
        workspace.rate_milli = shape.rate_milli;
        workspace.burst_milli = shape.burst_milli;
        s.workspaces.push_back(workspace);
    }
    return s;
}

std::shared_ptr<const settings_index> sample_index(const sample_shape& shape)
{
    return std::make_shared<const settings_index>(sample_settings(shape));
}

} // namespace cranberrywood::fakes
