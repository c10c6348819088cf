#include "tables/catalogue.hpp"

namespace cranberrywood {

void catalogue::add_route(route r)
{
    const std::string host = r.host;
    const std::string prefix = r.prefix;
    m_hosts[host][prefix] = std::make_shared<const route>(std::move(r));
}

void catalogue::add_service(service_entry entry)
{
    const auto id = id_of<service_id>(entry.name);
    m_services[id] = std::move(entry);
}

void catalogue::add_workspace(workspace_entry entry,
                              const std::vector<std::string>& keys)
{
    for (const std::string& key : keys) {
        m_keys[key] = entry.id;
    }
    m_workspaces[entry.id] = std::move(entry);
}

// Prefixes end with a slash, so only the path up to each of its slashes can
// be one. A path has few slashes; a host may have hundreds of prefixes.
std::shared_ptr<const route> catalogue::find_route(std::string_view host,
                                                   std::string_view path) const
{
    const auto routes = m_hosts.find(std::string(host));
    if (routes == m_hosts.end()) {
        return nullptr;
    }
    std::size_t slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        const auto found =
            routes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != routes->second.end()) {
            return found->second;
        }
        if (slash == 0) {
            break;
        }
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

const service_entry* catalogue::find_service(service_id id) const
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &found->second;
}

const workspace_entry* catalogue::find_workspace(std::string_view key) const
{
    const auto holder = m_keys.find(std::string(key));
    if (holder == m_keys.end()) {
        return nullptr;
    }
    const auto found = m_workspaces.find(holder->second);
    return found == m_workspaces.end() ? nullptr : &found->second;
}

} // namespace cranberrywood
