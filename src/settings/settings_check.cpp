#include "settings/settings_check.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace cranberrywood {

namespace {

/** Runs the checks over one site's settings. */
class checker
{
public:
    checker(const settings& checked, const merged_settings& merged,
            std::vector<settings_error>& errors)
        : m_settings(checked), m_merged(merged), m_errors(errors)
    {
    }

    void run()
    {
        check_timers();
        check_vms();
        for (const auto& service : m_settings.services) {
            check_service(service);
        }
        check_shard_keys();
        check_backend_servers();
        check_workspaces();
        for (const auto& rule : m_settings.rules) {
            check_rule(rule);
        }
        check_service_levels();
    }

private:
    void report(section_kind kind, const std::string& name, std::string key,
                std::string why)
    {
        m_errors.push_back(
            m_merged.error_at(kind, name, std::move(key), std::move(why)));
    }

    void check_timers()
    {
        const fleet_settings& fleet = m_settings.fleet;
        if (fleet.lease <= 2 * fleet.renew_every) {
            report(section_kind::fleet, "", "lease",
                   "must be longer than twice renew_every");
        }
        if (fleet.view_life <= 2 * fleet.heartbeat_every) {
            report(section_kind::fleet, "", "view_life",
                   "must be longer than twice heartbeat_every");
        }
    }

    void check_vms()
    {
        if (m_settings.vms.empty()) {
            report(section_kind::vm, "", "", "at least one vm is required");
        }
        for (const auto& vm : m_settings.vms) {
            check_host(section_kind::vm, vm.name, vm.host);
            check_address(section_kind::vm, vm.name, "peer_port", vm.host,
                          vm.peer_port);
            check_address(section_kind::vm, vm.name, "http_port", vm.host,
                          vm.http_port);
        }
    }

    void check_host(section_kind kind, const std::string& name,
                    const std::string& host)
    {
        if (!host.empty() && !is_ip_number(host)) {
            report(kind, name, "host", "expected an IP number");
        }
    }

    void check_address(section_kind kind, const std::string& name,
                       const std::string& key, const std::string& host,
                       std::uint16_t port)
    {
        if (host.empty() || port == 0) {
            return;
        }
        const auto [found, added] =
            m_addresses.try_emplace({host, port}, heading_of(kind, name));
        if (!added) {
            report(kind, name, key, "address is also that of " + found->second);
        }
    }

    void check_service(const service_settings& service)
    {
        if (service.cold_limit > service.slots) {
            report(section_kind::service, service.name, "cold_limit",
                   "must be at most slots");
        }
        if (service.default_deadline > service.max_deadline) {
            report(section_kind::service, service.name, "default_deadline",
                   "must be at most max_deadline");
        }
    }

    void check_shard_keys()
    {
        std::map<service_id, std::vector<const shard_settings*>> of_service;
        for (const auto& shard : m_settings.shards) {
            of_service[shard.service].push_back(&shard);
        }
        for (const auto& service : m_settings.services) {
            check_shards_of(service, of_service[service.id]);
        }
    }

    void check_shards_of(const service_settings& service,
                         std::vector<const shard_settings*>& shards)
    {
        // A plan that could not be read was reported already.
        if (shards.empty() &&
            m_merged.find(section_kind::shards, service.name) == nullptr) {
            report(section_kind::service, service.name, "",
                   "service has no shards");
        }
        std::sort(shards.begin(), shards.end(), [](auto* a, auto* b) {
            return a->keys.first < b->keys.first;
        });
        for (std::size_t i = 1; i < shards.size(); ++i) {
            check_neighbours(service, *shards[i - 1], *shards[i]);
        }
    }

    void check_neighbours(const service_settings& service,
                          const shard_settings& left,
                          const shard_settings& right)
    {
        if (right.keys.first == left.keys.last + 1) {
            return;
        }
        const bool gap = right.keys.first > left.keys.last;
        const std::string name = service.name + '/' + right.name;
        const bool planned =
            m_merged.find(section_kind::shard, name) == nullptr;
        report(planned ? section_kind::shards : section_kind::shard,
               planned ? service.name : name, "keys",
               std::string(gap ? "gap after" : "overlap with") +
                   " the keys of " + service.name + '/' + left.name);
    }

    void check_backend_servers()
    {
        std::set<shard_id> held;
        for (const auto& server : m_settings.backend_servers) {
            held.insert(server.shard);
            check_backend_server(server);
        }
        for (const auto& shard : m_settings.shards) {
            if (held.count(shard.id) == 0) {
                report(section_kind::shard, name_of(shard), "",
                       "no backend server holds the shard");
            }
        }
    }

    void check_backend_server(const backend_server_settings& server)
    {
        const bool planned =
            m_merged.find(section_kind::backend_server, server.name) == nullptr;
        const auto kind =
            planned ? section_kind::shards : section_kind::backend_server;
        const std::string name =
            planned ? name_of(server.service) : server.name;
        if (!server.host.empty() && !is_ip_number(server.host)) {
            report(kind, name, planned ? "hosts" : "host",
                   "expected an IP number");
        }
        check_address(kind, name, planned ? "first_port" : "port", server.host,
                      server.port);
    }

    std::string name_of(const service_id id) const
    {
        for (const auto& service : m_settings.services) {
            if (service.id == id) {
                return service.name;
            }
        }
        return {};
    }

    std::string name_of(const shard_settings& shard) const
    {
        return name_of(shard.service) + '/' + shard.name;
    }

    void check_workspaces()
    {
        std::map<key_digest, std::string> granted;
        for (const auto& workspace : m_settings.workspaces) {
            for (const auto& digest : workspace.keys) {
                const auto [found, added] =
                    granted.try_emplace(digest, workspace.name);
                if (!added) {
                    report(section_kind::workspace, workspace.name,
                           "key_digests",
                           "a digest is also granted to " + found->second);
                }
            }
        }
    }

    void check_rule(const rule_settings& rule)
    {
        const bool keeps = rule.effect == rule_effect::keep_within;
        const bool leaves_out = rule.effect == rule_effect::leave_out;
        if (keeps == rule.data_centres.empty()) {
            report(section_kind::rule, rule.name, "data_centres",
                   keeps ? "keep_within needs data centres"
                         : "only keep_within takes data centres");
        }
        if (leaves_out == rule.shards.empty()) {
            report(section_kind::rule, rule.name, "shards",
                   leaves_out ? "leave_out needs shards"
                              : "only leave_out takes shards");
        }
    }

    void check_service_levels()
    {
        std::map<service_id, std::string> levels;
        for (const auto& level : m_settings.service_levels) {
            const auto [found, added] =
                levels.try_emplace(level.service, level.name);
            if (!added) {
                report(section_kind::service_level, level.name, "service",
                       "service has the level " + found->second + " already");
            }
        }
    }

    const settings& m_settings;
    const merged_settings& m_merged;
    std::vector<settings_error>& m_errors;
    std::map<std::pair<std::string, std::uint16_t>, std::string> m_addresses;
};

} // namespace

void check_settings(const settings& checked, const merged_settings& merged,
                    std::vector<settings_error>& errors)
{
    checker(checked, merged, errors).run();
}

} // namespace cranberrywood
