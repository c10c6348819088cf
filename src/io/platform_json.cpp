#include "io/platform_json.hpp"

#include <nlohmann/json.hpp>

namespace cranberrywood {

namespace {

using nlohmann::json;

/** VMs in one list, at most. */
constexpr std::size_t max_listed_vms = 65536;

published_value value_of(const json& object)
{
    published_value value;
    value.revision =
        revision_number(object.at("revision").get<std::uint64_t>());
    value.base = object.at("base").get<std::string>();
    for (const json& overlay : object.at("overlays")) {
        value.overlays.push_back({overlay.at("site").get<std::string>(),
                                  overlay.at("text").get<std::string>()});
    }
    return value;
}

vm_list_read list_of(const json& object)
{
    vm_list_read list;
    list.version = list_version(object.at("version").get<std::uint64_t>());
    for (const json& vm : object.at("vms")) {
        list.vms.push_back({id_of<vm_id>(vm.at("name").get<std::string>()),
                            vm.at("leaving").get<bool>()});
    }
    return list;
}

} // namespace

std::optional<published_value> read_published_value(const std::string& text)
{
    try {
        return value_of(json::parse(text));
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::optional<vm_list_read> read_vm_list_json(const std::string& text)
{
    try {
        vm_list_read list = list_of(json::parse(text));
        if (list.vms.size() > max_listed_vms) {
            return std::nullopt;
        }
        return list;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace cranberrywood
