#include "systems/queries/request_check.hpp"

#include "systems/settings/key_check.hpp"

namespace cranberrywood {

namespace {

/** Maximum length of the id of a non-repeatable request, in bytes. */
constexpr std::size_t max_request_id_bytes = 128;

error_detail malformed(const char* field)
{
    return {step::admission, reason::malformed, {}, {}, field};
}

std::optional<error_detail> check_fields(const caller_request& request,
                                         const service_settings& service,
                                         const settings_index& settings)
{
    if (request.deadline <= duration::zero() ||
        request.deadline > service.max_deadline) {
        return error_detail{
            step::admission, reason::deadline_invalid, {}, {}, "deadline_ms"};
    }
    if (request.body.size() > settings.fleet().max_body_bytes) {
        return malformed("body");
    }
    if (request.hit_limit == 0 || request.hit_limit > service.max_hits) {
        return malformed("hit_limit");
    }
    if (request.caller_request_id.size() > max_request_id_bytes) {
        return malformed("request_id");
    }
    return std::nullopt;
}

bool has_key(const settings_index& settings, service_id service,
             std::uint64_t key)
{
    for (const shard_id id : settings.shards_of(service)) {
        const key_range& keys = settings.find(id)->keys;
        if (keys.first <= key && key <= keys.last) {
            return true;
        }
    }
    return false;
}

std::variant<request_rights, error_detail>
rights_of(const caller_request& request, const service_settings& service,
          const settings_index& settings)
{
    request_rights rights;
    if (service.open && request.key.empty()) {
        return rights;
    }
    if (request.key.empty()) {
        return error_detail{
            step::rights, reason::key_missing, {}, {}, "X-Workspace-Key"};
    }
    rights.digest = digest_of(settings.all().key_salt, request.key);
    const auto workspace = workspace_of_digest(settings, *rights.digest);
    if (!workspace) {
        return error_detail{
            step::rights, reason::key_unknown, {}, {}, "X-Workspace-Key"};
    }
    rights.workspace = *workspace;
    return rights;
}

} // namespace

std::variant<admitted_request, error_detail>
check_request(const caller_request& request, const settings_index& settings,
              const rights_check& rights, time_point now)
{
    const auto* service = settings.find(id_of<service_id>(request.service));
    if (service == nullptr) {
        return error_detail{
            step::admission, reason::service_unknown, {}, {}, "service"};
    }
    if (auto error = check_fields(request, *service, settings)) {
        return *error;
    }
    if (request.is_lookup() &&
        !has_key(settings, service->id, request.lookup_key)) {
        return malformed("key");
    }
    auto found = rights_of(request, *service, settings);
    if (auto* error = std::get_if<error_detail>(&found)) {
        return *error;
    }
    admitted_request admitted;
    admitted.rights = std::get<request_rights>(found);
    if (auto error = rights.find_refusal(admitted.rights, service->id)) {
        return *error;
    }
    const workspace_id workspace = admitted.rights.workspace;
    admitted.token = request.token;
    admitted.service = service->id;
    admitted.revision = settings.all().revision;
    admitted.arrived = now;
    admitted.deadline = now + request.deadline;
    admitted.hit_limit = request.hit_limit;
    admitted.body = request.body;
    admitted.print = fingerprint_of(workspace, service->id, request.body);
    if (request.is_lookup()) {
        admitted.lookup = request_id_of(workspace, request.caller_request_id);
        admitted.lookup_key = request.lookup_key;
    }
    return admitted;
}

} // namespace cranberrywood
