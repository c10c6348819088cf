#include "systems/settings/key_check.hpp"

#include <sodium.h>

namespace cranberrywood {

key_digest digest_of(std::string_view salt, std::string_view key)
{
    key_digest digest{};
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, digest.size());
    crypto_generichash_update(
        &state, reinterpret_cast<const unsigned char*>(salt.data()),
        salt.size());
    crypto_generichash_update(
        &state, reinterpret_cast<const unsigned char*>(key.data()), key.size());
    crypto_generichash_final(&state, digest.data(), digest.size());
    return digest;
}

std::optional<workspace_id> workspace_of_digest(const settings_index& settings,
                                                const key_digest& presented)
{
    std::optional<workspace_id> owner;
    for (const auto& workspace : settings.all().workspaces) {
        for (const auto& stored : workspace.keys) {
            if (sodium_memcmp(stored.data(), presented.data(),
                              presented.size()) == 0) {
                owner = workspace.id;
            }
        }
    }
    return owner;
}

std::optional<workspace_id> workspace_of_key(const settings_index& settings,
                                             std::string_view key)
{
    return workspace_of_digest(settings,
                               digest_of(settings.all().key_salt, key));
}

} // namespace cranberrywood
