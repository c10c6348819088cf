#include "units/ids.hpp"

#include <xxhash.h>

#include <array>
#include <string>

namespace cranberrywood {

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t stable_hash(std::uint64_t a, std::uint64_t b)
{
    const std::array<std::uint64_t, 2> words{a, b};
    return XXH3_64bits(words.data(), sizeof(words));
}

shard_id shard_id_of(std::string_view service, std::string_view shard)
{
    std::string name(service);
    name += '/';
    name += shard;
    return id_of<shard_id>(name);
}

request_id request_id_of(workspace_id workspace, std::string_view caller_id)
{
    const XXH128_hash_t hash = XXH3_128bits_withSeed(
        caller_id.data(), caller_id.size(), workspace.value());
    return {hash.high64, hash.low64};
}

fingerprint fingerprint_of(workspace_id workspace, service_id service,
                           std::string_view body)
{
    const auto scope = stable_hash(workspace.value(), service.value());
    return fingerprint(stable_hash(body, scope));
}

fingerprint fingerprint_of(workspace_id workspace,
                           const request_content& content)
{
    std::uint64_t hash = workspace.value();
    for (const std::string_view part :
         {content.host, content.method, content.target, content.body}) {
        hash = stable_hash(part, hash);
    }
    return fingerprint(hash);
}

} // namespace cranberrywood
