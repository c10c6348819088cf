#include <rapidcheck.h>

#include "core/random_source.hpp"
#include "wire/compact_buffer.hpp"
#include "wire/gateway_codec.hpp"
#include "wire/gen/gateway_types.h"
#include "wire/packed_address.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

gateway_datagram sample()
{
    gateway_datagram datagram;
    datagram.process = incarnation(77);
    datagram.fleet_size = 8;
    datagram.settled = true;
    datagram.members = {{"10.0.0.1:7000", 3s}, {"10.0.0.2:7000", 0s}};
    datagram.asks = {{5, workspace_id(9), 3}};
    datagram.grants = {{6, workspace_id(9), 2, 1s}};
    datagram.accepts_relays = true;
    datagram.settings_version = 12;
    datagram.fleet_unconfirmed = true;
    datagram.data_centre = data_centre_id(31);
    datagram.suspicions = {{backend_server_id(31), 150ms}};
    datagram.limits = {{backend_server_id(31), true, 6900, 20ms}};
    datagram.crashes = {{fingerprint(1ULL << 63U), backend_server_id(31),
                         service_id(4), 9ms, 4ms, 2}};
    datagram.clearances = {{fingerprint(12), service_id(4), 30ms}};
    return datagram;
}

mirror_update update()
{
    mirror_update u;
    u.place = 41;
    u.process = incarnation(3);
    u.whole = true;
    u.at = {store_era(4), store_revision(900)};
    u.store_reachable = true;
    u.items = {{"key",
                {store_era(4), store_revision(8)},
                false,
                std::string("\0\xff", 2)},
               {"gone", {store_era(3), store_revision(9)}, true, ""}};
    return u;
}

} // namespace

TEST_GROUP(gateway_codec){};

TEST(gateway_codec, a_datagram_comes_back_as_it_was)
{
    const auto read = decode_gateway_datagram(encode(sample()));
    const auto& datagram = std::get<gateway_datagram>(read);
    CHECK(datagram.process == incarnation(77));
    CHECK_EQUAL(8U, datagram.fleet_size);
    CHECK(datagram.settled);
    CHECK(datagram.accepts_relays);
    CHECK_EQUAL(12U, datagram.settings_version);
    CHECK(datagram.fleet_unconfirmed);
    CHECK(datagram.data_centre == data_centre_id(31));
    STRCMP_EQUAL("10.0.0.1:7000", datagram.members[0].address.c_str());
    CHECK(datagram.members[0].age == duration(3s));
    CHECK_EQUAL(3U, datagram.asks[0].tokens);
    CHECK(datagram.grants[0].workspace == workspace_id(9));
    CHECK(datagram.grants[0].term == duration(1s));
    CHECK(datagram.suspicions[0].server == backend_server_id(31));
    CHECK(datagram.suspicions[0].term == duration(150ms));
    CHECK(datagram.limits[0].server == backend_server_id(31));
    CHECK(datagram.limits[0].limited);
    CHECK_EQUAL(6900U, datagram.limits[0].milli_per_second);
    CHECK(datagram.limits[0].age == duration(20ms));
    const crash_report& crash = datagram.crashes[0];
    CHECK(crash.print == fingerprint(1ULL << 63U));
    CHECK(crash.server == backend_server_id(31));
    CHECK(crash.service == service_id(4));
    CHECK(crash.sent_age == duration(9ms));
    CHECK(crash.lost_age == duration(4ms));
    CHECK_EQUAL(2U, crash.strike);
    CHECK(datagram.clearances[0].print == fingerprint(12));
    CHECK(datagram.clearances[0].sent_age == duration(30ms));
}

TEST(gateway_codec, hints_of_an_earlier_version_are_read)
{
    wire::member_hint hint;
    hint.address = "10.0.0.7:7000";
    hint.age = duration(2s).count();
    wire::gateway_datagram sent;
    sent.fleet_size = 8;
    sent.members.push_back(hint);
    wire_detail::compact_writer writer;
    writer.write(sent);
    const auto read = decode_gateway_datagram(writer.bytes());
    const auto& datagram = std::get<gateway_datagram>(read);
    CHECK_EQUAL(1, datagram.members.size());
    STRCMP_EQUAL("10.0.0.7:7000", datagram.members[0].address.c_str());
    CHECK(datagram.members[0].age == duration(2s));
}

TEST(gateway_codec, a_heartbeat_with_the_most_hints_fits_a_packet)
{
    constexpr std::size_t largest_payload = 1400;
    gateway_datagram datagram = sample();
    datagram.members.assign(80, {"255.255.255.255:65535", 10min});
    CHECK(encode(datagram).size() <= largest_payload);
}

TEST(gateway_codec, addresses_are_packed_or_recognised_as_none)
{
    for (const char* text : {"10.0.0.1:7000", "255.255.255.255:65535",
                             "0.0.0.1:0", "127.0.0.1:1"}) {
        STRCMP_EQUAL(text, unpack_address(pack_address(text)).c_str());
    }
    for (const char* text : {"", "here:1", "10.0.0.1", "10.0.0.1:", "10.0.0:1",
                             "10.0.0.1:70000", "10.0.0.1:1x"}) {
        CHECK_TEXT(pack_address(text) == 0, text);
    }
    for (const std::int64_t packed :
         {std::int64_t(0), std::int64_t(-1), std::int64_t(1) << 48}) {
        CHECK(unpack_address(packed).empty());
    }
}

TEST(gateway_codec, an_update_comes_back_as_it_was)
{
    const auto read = decode_mirror_update(encode(update()));
    const auto& u = std::get<mirror_update>(read);
    CHECK(u.at == update().at);
    CHECK(u.items[0].position == update().items[0].position);
    CHECK(u.items[1].position == update().items[1].position);
    CHECK(u.whole && u.store_reachable && !u.store_steady);
    CHECK(u.items[0].bytes == std::string("\0\xff", 2));
    CHECK(u.items[1].removed);
}

TEST(gateway_codec, truncated_or_longer_bytes_are_refused)
{
    const std::string bytes = encode(sample());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK(std::holds_alternative<wire_error>(
            decode_gateway_datagram(bytes.substr(0, size))));
    }
    CHECK(std::holds_alternative<wire_error>(
        decode_gateway_datagram(bytes + "x")));
}

TEST(gateway_codec, changed_bytes_are_read_or_refused)
{
    const std::string datagram = encode(sample());
    const std::string mirrored = encode(update());
    seeded_random random(20261204);
    for (int i = 0; i < 20000; ++i) {
        std::string one = datagram;
        one[random.below(one.size())] = static_cast<char>(random.below(256));
        const auto read = decode_gateway_datagram(one);
        CHECK(std::holds_alternative<wire_error>(read) ||
              std::holds_alternative<gateway_datagram>(read));
        std::string two = mirrored;
        two[random.below(two.size())] = static_cast<char>(random.below(256));
        const auto other = decode_mirror_update(two);
        CHECK(std::holds_alternative<wire_error>(other) ||
              std::holds_alternative<mirror_update>(other));
    }
}
