#ifndef CRANBERRYWOOD_SETTINGS_SETTINGS_HPP
#define CRANBERRYWOOD_SETTINGS_SETTINGS_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

/**
 * Checked settings as one site's VMs see them: the base file with the site's
 * overlay merged in. Plain data; settings_reader builds it.
 */
namespace cranberrywood {

struct data_centre_settings
{
    data_centre_id id;
    std::string name;
    std::string site;
    std::string region;
    bool in_service = true;
};

/** A VM slot; the process in it may change, the slot stays. */
struct vm_settings
{
    vm_id id;
    std::string name;
    data_centre_id data_centre;
    std::string host;
    std::uint16_t peer_port = 0;
    std::uint16_t http_port = 0;
};

struct service_settings
{
    service_id id;
    std::string name;
    /** Requests that one backend server runs at a time. */
    std::uint32_t slots = 1;
    /** Connections that one backend server accepts, from all VMs together. */
    std::uint32_t connections = 1;
    /** Time that a backend server needs to accept one connection. */
    duration connection_cost{0};
    /** Requests at a time that a cold backend server bears. */
    std::uint32_t cold_limit = 1;
    /** Requests that may wait at the owner for one backend server. */
    std::uint32_t queue_limit = 16;
    /** Index version at publication; observation goes first. */
    index_version index;
    shard_map_version map;
    /** The route needs no key. */
    bool open = false;
    duration default_deadline = std::chrono::milliseconds(320);
    duration max_deadline = std::chrono::seconds(10);
    std::uint32_t max_hits = 100;
    /** Extra sends (hedges and retries) per hundred first sends. */
    std::uint32_t extra_send_percent = 5;
};

/** Inclusive range of shard keys. */
struct key_range
{
    std::uint64_t first = 0;
    std::uint64_t last = 0;

    std::uint64_t size() const
    {
        return last - first + 1;
    }
};

struct shard_settings
{
    shard_id id;
    service_id service;
    std::string name;
    key_range keys;
};

struct backend_server_settings
{
    backend_server_id id;
    std::string name;
    service_id service;
    shard_id shard;
    data_centre_id data_centre;
    std::string host;
    std::uint16_t port = 0;
    bool in_service = true;
};

/** Salted BLAKE2b digest of a key. */
using key_digest = std::array<unsigned char, 32>;

struct workspace_settings
{
    workspace_id id;
    std::string name;
    std::vector<key_digest> keys;
    /** Requests per second over all VMs, in thousandths. */
    std::uint64_t rate_milli = 0;
    /** Requests at once over all VMs, in thousandths. */
    std::uint64_t burst_milli = 0;
    std::uint32_t weight = 1;
    /** Services it may use; empty stands for all. */
    std::vector<service_id> services;
};

enum class rule_effect : std::uint8_t
{
    /** Requests that match are refused. */
    refuse,
    /** Requests that match run only in the rule's data centres. */
    keep_within,
    /** The rule's shards are left out of answers. */
    leave_out,
};

/** A legal rule. An empty list matches everything. */
struct rule_settings
{
    std::string name;
    bool enabled = true;
    rule_effect effect = rule_effect::refuse;
    std::vector<workspace_id> workspaces;
    std::vector<service_id> services;
    std::vector<data_centre_id> data_centres;
    std::vector<shard_id> shards;
};

struct service_level_settings
{
    std::string name;
    service_id service;
    duration latency_target = std::chrono::milliseconds(320);
    /** Share of requests within the target, in millionths. */
    std::uint64_t latency_objective_ppm = 990000;
    /** Share of answers of full coverage, in millionths. */
    std::uint64_t coverage_objective_ppm = 999000;
    /** Share of requests within the rate that are not refused, millionths. */
    std::uint64_t refusal_objective_ppm = 999000;
};

/** Timers and limits that are one for the fleet. */
struct fleet_settings
{
    /** Life of a role lease. */
    duration lease = std::chrono::seconds(3);
    /** Interval between renewals of a role lease. */
    duration renew_every = std::chrono::seconds(1);
    /** Interval between heartbeats to the witness set. */
    duration heartbeat_every = std::chrono::seconds(1);
    /** Age at which a view that nothing confirmed is unconfirmed. */
    duration view_life = std::chrono::seconds(6);
    /** Largest difference in speed of two clocks, in millionths. */
    std::uint32_t clock_drift_ppm = 1000;
    /** VMs in one witness set, at most. */
    std::uint32_t witnesses = 8;
    /** Role groups for homes and request ids. */
    std::uint32_t shared_groups = 64;
    /** Role groups for the backend servers of one data centre. */
    std::uint32_t groups_per_data_centre = 8;
    /** VMs per data centre that read the configuration service. */
    std::uint32_t readers_per_data_centre = 2;
    /** Interval between reads of the VM list by one reader. */
    duration list_every = std::chrono::seconds(2);
    /** Time for which results of non-repeatable requests are kept. */
    duration resend_window = std::chrono::seconds(60);
    /** Time that the balancer needs to see a VM that is not ready. */
    duration balancer_lag = std::chrono::seconds(2);
    /** Longest time that a leaving VM waits for work in flight. */
    duration drain_limit = std::chrono::seconds(30);
    /** Time for which a request that crashes servers is refused. */
    duration quarantine = std::chrono::seconds(300);
    /** Requests that one VM works on at a time. */
    std::uint32_t max_requests = 1024;
    /** Largest request body in bytes. */
    std::uint32_t max_body_bytes = 65536;
};

/** Effective settings of one site. */
struct settings
{
    revision_number revision;
    std::string site;
    /** Salt of the key digests. */
    std::string key_salt;
    fleet_settings fleet;
    std::vector<data_centre_settings> data_centres;
    std::vector<vm_settings> vms;
    std::vector<service_settings> services;
    std::vector<shard_settings> shards;
    std::vector<backend_server_settings> backend_servers;
    std::vector<workspace_settings> workspaces;
    std::vector<rule_settings> rules;
    std::vector<service_level_settings> service_levels;
};

/**
 * Settings with indexes by id. Immutable and shared: a request keeps the
 * revision under which it was admitted.
 */
class settings_index
{
public:
    explicit settings_index(settings s);

    const settings& all() const
    {
        return m_settings;
    }
    const fleet_settings& fleet() const
    {
        return m_settings.fleet;
    }
    /** Each find returns null when the id is not in the settings. */
    const data_centre_settings* find(data_centre_id id) const;
    const vm_settings* find(vm_id id) const;
    const service_settings* find(service_id id) const;
    const shard_settings* find(shard_id id) const;
    const backend_server_settings* find(backend_server_id id) const;
    const workspace_settings* find(workspace_id id) const;
    /** Returns the shards of a service in the order of their keys. */
    const std::vector<shard_id>& shards_of(service_id id) const;
    /** Returns the backend servers that hold a shard. */
    const std::vector<backend_server_id>& replicas_of(shard_id id) const;
    /** Returns whether a backend server and its data centre are in service. */
    bool in_service(const backend_server_settings& server) const;
    /** Returns the name of an id for logs, or its number when unknown. */
    std::string name_of(vm_id id) const;
    std::string name_of(backend_server_id id) const;
    std::string name_of(workspace_id id) const;

private:
    template <class Id>
    using positions = std::unordered_map<Id, std::size_t>;

    settings m_settings;
    positions<data_centre_id> m_data_centres;
    positions<vm_id> m_vms;
    positions<service_id> m_services;
    positions<shard_id> m_shards;
    positions<backend_server_id> m_backend_servers;
    positions<workspace_id> m_workspaces;
    std::unordered_map<service_id, std::vector<shard_id>> m_shards_of;
    std::unordered_map<shard_id, std::vector<backend_server_id>> m_replicas_of;
};

} // namespace cranberrywood

#endif
