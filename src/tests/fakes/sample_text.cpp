#include "fakes/sample_text.hpp"

#include "systems/settings/key_check.hpp"

#include <iomanip>
#include <sstream>

namespace cranberrywood::fakes {

namespace {

constexpr std::uint32_t keys_per_shard = 1000;

std::string hex(const key_digest& digest)
{
    std::ostringstream text;
    for (const unsigned char byte : digest) {
        text << std::hex << std::setw(2) << std::setfill('0') << int{byte};
    }
    return text.str();
}

std::string data_centre_list(std::uint32_t count)
{
    std::string list;
    for (std::uint32_t i = 0; i < count; ++i) {
        list += (i == 0 ? "dc-" : ", dc-") + std::to_string(i);
    }
    return list;
}

void write_vms(std::ostream& text, const sample_shape& shape,
               const sample_edits& edits)
{
    for (std::uint32_t i = 0; i < shape.data_centres; ++i) {
        text << "[data_centre dc-" << i << "]\nsite = site-0\n";
        if (edits.data_centre_out == static_cast<int>(i)) {
            text << "in_service = false\n";
        }
    }
    for (std::uint32_t i = 0; i < shape.vms; ++i) {
        text << "[vm vm-" << i << "]\ndata_centre = dc-"
             << i % shape.data_centres
             << "\nhost = 127.0.0.1\npeer_port = " << 21000 + i
             << "\nhttp_port = " << 22000 + i << '\n';
    }
}

void write_workspaces(std::ostream& text, const sample_shape& shape,
                      const sample_edits& edits)
{
    for (std::uint32_t i = 0; i < shape.workspaces; ++i) {
        const std::string name = "w" + std::to_string(i);
        const bool withdrawn = edits.withdrawn == static_cast<int>(i);
        const std::string key = (withdrawn ? "other-" : "key-") + name;
        text << "[workspace " << name
             << "]\nkey_digests = " << hex(digest_of("salt", key))
             << "\nrate = " << shape.rate_milli / 1000
             << "/s\nburst = " << shape.burst_milli / 1000 << '\n';
    }
}

} // namespace

published_value sample_value(revision_number revision,
                             const sample_shape& shape,
                             const sample_edits& edits)
{
    std::ostringstream text;
    text << "[fleet]\nkey_salt = salt\nresend_window = 15s\n";
    write_vms(text, shape, edits);
    text << "[service search]\nslots = 2\nconnections = 25\n"
         << "connection_cost = 6ms\ncold_limit = 1\nindex_version = "
         << edits.index << "\nshard_map_version = 1\n"
         << "[shards search]\ncount = " << shape.shards << "\nkeys = 0-"
         << shape.shards * keys_per_shard - 1
         << "\nreplicas = " << shape.replicas
         << "\ndata_centres = " << data_centre_list(shape.data_centres)
         << "\nhosts = 127.0.0.1\nfirst_port = 23000\n";
    write_workspaces(text, shape, edits);
    text << edits.more;
    return {revision, text.str(), {}};
}

} // namespace cranberrywood::fakes
