#ifndef CRANBERRYWOOD_TABLES_CATALOGUE_HPP
#define CRANBERRYWOOD_TABLES_CATALOGUE_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace cranberrywood {

/** One service of a traffic split and its share of the requests. */
struct weighted_service
{
    service_id service;
    std::uint32_t weight = 1;
};

/** Requests go to one backend server of one of the services. */
struct forward_target
{
    std::vector<weighted_service> services;
};

/** Requests go to one backend server of each service, called the shards. */
struct gather_target
{
    std::vector<service_id> shards;
    /** Records that an answer holds at most. */
    std::uint32_t top_records = 0;
    /** Share of the shards below which an answer is no success, 0 to 1. */
    double least_share = 0.0;
};

using route_target = std::variant<forward_target, gather_target>;

/** Where requests of one host and path prefix go, and on what terms. */
struct route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    route_target target;
    /** The request may run more than once. */
    bool repeatable = false;
    /** No workspace key is needed. */
    bool open = false;
    /** Backend servers that one request may be sent to, for each shard. */
    std::uint32_t max_sends = 1;
    /** 0 is the most important. */
    std::uint32_t priority = 0;
    duration timeout{0};
    /** Time within which an answer is worth its full value. */
    duration target_latency{0};
};

/** Limits of the backend servers of one service. */
struct service_entry
{
    std::string name;
    std::string health_path;
    /** Connections of one backend server, from all callers together. */
    std::uint32_t connections = 1;
    /** Time for which a backend server is cold after its start. */
    duration cold_period{0};
    /** Requests a second that a cold backend server bears; 0: no limit. */
    double cold_rate = 0.0;
};

/** One workspace, its rate over all VMs, and its rank. */
struct workspace_entry
{
    workspace_id id;
    std::string name;
    /** Requests a second; 0: no limit. */
    double rate = 0.0;
    double burst = 0.0;
    /** Takes precedence over the route's priority. */
    std::optional<std::uint32_t> priority;
};

/** What a caller may send, and how long it may take. */
struct caller_limits_entry
{
    std::uint32_t header_bytes = 16384;
    std::uint32_t body_bytes = 1048576;
    duration header_timeout = std::chrono::seconds(5);
    duration idle_timeout = std::chrono::seconds(30);
};

/**
 * One version of the operator's configuration: routes, services, workspaces
 * and limits, indexed for look-up. Immutable once it is in force.
 */
class catalogue
{
public:
    std::uint64_t version = 0;
    caller_limits_entry limits;

    /** Adds a route; a later one of the same host and prefix wins. */
    void add_route(route r);
    void add_service(service_entry entry);
    /** Adds a workspace with the keys that its callers present. */
    void add_workspace(workspace_entry entry,
                       const std::vector<std::string>& keys);

    /**
     * Returns the route of the host with the longest prefix that begins the
     * path; null when there is none.
     */
    std::shared_ptr<const route> find_route(std::string_view host,
                                            std::string_view path) const;
    const service_entry* find_service(service_id id) const;
    /** Returns the workspace that holds a key; null when none does. */
    const workspace_entry* find_workspace(std::string_view key) const;
    /** Returns whether callers need keys at all. */
    bool has_workspaces() const
    {
        return !m_workspaces.empty();
    }
    const std::unordered_map<workspace_id, workspace_entry>& workspaces() const
    {
        return m_workspaces;
    }
    const std::unordered_map<service_id, service_entry>& services() const
    {
        return m_services;
    }

private:
    using routes_by_prefix =
        std::unordered_map<std::string, std::shared_ptr<const route>>;

    std::unordered_map<std::string, routes_by_prefix> m_hosts;
    std::unordered_map<service_id, service_entry> m_services;
    std::unordered_map<workspace_id, workspace_entry> m_workspaces;
    std::unordered_map<std::string, workspace_id> m_keys;
};

} // namespace cranberrywood

#endif
