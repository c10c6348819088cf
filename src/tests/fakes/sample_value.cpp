#include "fakes/sample_value.hpp"

#include <stdexcept>

namespace cranberrywood::fakes {

namespace {

const char* const base_text = R"([fleet]
key_salt = salt
lease = 3s
renew_every = 1s
[data_centre north]
site = north
[data_centre south]
site = south
[vm vm-0]
data_centre = north
host = 127.0.0.1
peer_port = 1001
http_port = 2001
[vm vm-1]
data_centre = south
host = 127.0.0.1
peer_port = 1002
http_port = 2002
[vm vm-2]
data_centre = north
host = 127.0.0.1
peer_port = 1003
http_port = 2003
[vm vm-3]
data_centre = south
host = 127.0.0.1
peer_port = 1004
http_port = 2004
[service search]
slots = 2
connections = 25
connection_cost = 6ms
cold_limit = 1
index_version = 1
shard_map_version = 1
[shards search]
count = 4
keys = 0-3999
replicas = 2
data_centres = north south
hosts = 127.0.0.1
first_port = 3000
[service notes]
slots = 1
connections = 10
connection_cost = 1ms
index_version = 1
shard_map_version = 1
[shard notes/all]
keys = 0-99
[backend_server notes-1]
shard = notes/all
data_centre = north
host = 127.0.0.1
port = 4000
[workspace w0]
key_digests = 0000000000000000000000000000000000000000000000000000000000000000
rate = 100/s
burst = 50
[workspace w1]
key_digests =
  1111111111111111111111111111111111111111111111111111111111111111
  2222222222222222222222222222222222222222222222222222222222222222
rate = 2.5/s
burst = 5
services = search
[rule quiet]
effect = refuse
workspaces = w1
services = search
[service_level search]
service = search
)";

} // namespace

published_value sample_value()
{
    return {revision_number(1),
            base_text,
            {{"north", "[service search]\ndefault_deadline = 250ms\n"},
             {"south", "[rule quiet]\nenabled = false\n"}}};
}

published_value with_base_edit(const std::string& find,
                               const std::string& replacement)
{
    published_value value = sample_value();
    const std::size_t at = value.base.find(find);
    if (at == std::string::npos) {
        throw std::logic_error("sample value has no " + find);
    }
    value.base.replace(at, find.size(), replacement);
    return value;
}

published_value with_overlay_text(const std::string& text)
{
    published_value value = sample_value();
    value.overlays.front().text += text;
    return value;
}

} // namespace cranberrywood::fakes
