#include "settings/settings_reader.hpp"

#include "fakes/sample_value.hpp"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using fakes::sample_value;
using fakes::with_base_edit;
using fakes::with_overlay_text;

namespace {

std::string errors_of(const published_value& value)
{
    const auto result = read_settings(value);
    const auto* errors = std::get_if<std::vector<settings_error>>(&result);
    std::string text;
    if (errors != nullptr) {
        for (const auto& error : *errors) {
            text += error.text() + '\n';
        }
    }
    return text;
}

accepted_settings accepted_of(const published_value& value)
{
    STRCMP_EQUAL("", errors_of(value).c_str());
    return std::get<accepted_settings>(read_settings(value));
}

struct fault
{
    const char* find;
    const char* replacement;
    const char* error;
};

} // namespace

TEST_GROUP(settings_reader){};

TEST(settings_reader, merges_each_site_by_itself)
{
    const auto accepted = accepted_of(sample_value());
    const auto search = id_of<service_id>("search");
    const auto north = accepted.of_site("north");
    const auto south = accepted.of_site("south");
    CHECK(north->find(search)->default_deadline ==
          std::chrono::milliseconds(250));
    CHECK(south->find(search)->default_deadline ==
          std::chrono::milliseconds(320));
    CHECK_TRUE(north->all().rules.front().enabled);
    CHECK_FALSE(south->all().rules.front().enabled);
    CHECK(accepted.of_site("west") == nullptr);
}

TEST(settings_reader, splits_planned_shards)
{
    const auto north = accepted_of(sample_value()).of_site("north");
    const auto& shards = north->shards_of(id_of<service_id>("search"));
    CHECK_EQUAL(4, shards.size());
    CHECK_EQUAL(1000, north->find(shards[1])->keys.first);
    CHECK_EQUAL(2, north->replicas_of(shards[1]).size());
    const auto* server = north->find(id_of<backend_server_id>("search-s1-r1"));
    CHECK_EQUAL(3003, server->port);
    CHECK(server->data_centre == id_of<data_centre_id>("north"));
}

TEST(settings_reader, reads_lists_over_indented_lines)
{
    const auto north = accepted_of(sample_value()).of_site("north");
    const auto* w1 = north->find(id_of<workspace_id>("w1"));
    CHECK_EQUAL(2, w1->keys.size());
    CHECK_EQUAL(2500, w1->rate_milli);
}

// A site's data centre that is out must get no work from other sites.
TEST(settings_reader, in_service_of_an_overlay_holds_at_every_site)
{
    const auto accepted = accepted_of(with_overlay_text(
        "[data_centre north]\nin_service = false\n"
        "[backend_server search-s0-r0]\nin_service = false\n"));
    for (const auto& [site, settings] : accepted.sites) {
        CHECK_FALSE(settings->find(id_of<data_centre_id>("north"))->in_service);
        const auto id = id_of<backend_server_id>("search-s0-r0");
        CHECK_FALSE(settings->find(id)->in_service);
    }
}

TEST(settings_reader, refuses_faults_of_the_base)
{
    const fault faults[] = {
        {"lease = 3s", "lease = 3",
         "base.ini:3: fleet.lease: expected a time with ns, us, ms, s, min"},
        {"lease = 3s", "lease = 61s",
         "base.ini:3: fleet.lease: out of range, must be 200ms to 1min"},
        {"lease = 3s", "lease = 2s",
         "base.ini:3: fleet.lease: must be longer than twice renew_every"},
        {"lease = 3s", "lease = 99999999999999999999s", "fleet.lease: expect"},
        {"lease = 3s", "leese = 3s", "base.ini:3: fleet.leese: unknown key"},
        {"lease = 3s", "lease 3s", "base.ini:3: fleet: expected `key = value`"},
        {"lease = 3s", "key_salt = x", "fleet.key_salt: duplicated key"},
        {"lease = 3s", "lease = \xFF", "base.ini:3: fleet: bytes are not UTF"},
        {"lease = 3s", "lease = 3s\x01", "fleet: line has control characters"},
        {"key_salt = salt\n", "", "fleet.key_salt: required key is missing"},
        {"[fleet]", "[flet]", "base.ini:1: flet: unknown section"},
        {"[fleet]", "[fleet x]", "section takes no name"},
        {"[data_centre south]", "[data_centre north]", "duplicated section"},
        {"[data_centre south]", "[data_centre]", "section needs a name"},
        {"[data_centre south]", "[data_centre all]", "stands for every name"},
        {"data_centre = north", "data_centre = nort",
         "no data centre is named"},
        {"http_port = 2001", "http_port = 1002", "also that of vm vm-0"},
        {"host = 127.0.0.1", "host = localhost", "expected an IP number"},
        {"cold_limit = 1", "cold_limit = 3", "must be at most slots"},
        {"keys = 0-99", "keys = 99-0", "shard notes/all.keys: expected first"},
        {"[shard notes/all]", "[shard search/x]", "overlap with the keys"},
        {"[shard notes/all]", "[shard search/s1]", "a shard of that name"},
        {"shard = notes/all", "shard = search/s1", "no backend server holds"},
        {"[shards search]", "[shards serch]", "no service is named serch"},
        {"count = 4", "count = 5000", "keys are fewer than the shards"},
        {"count = 4", "count = 100000", "more than 100000 backend servers"},
        {"first_port = 3000", "first_port = 65530", "ports do not suffice"},
        {"rate = 100/s", "rate = 100", "workspace w0.rate: expected a number"},
        {"services = search", "services =", "expected names, or `all`"},
        {"0000000000000000", "111111111111111", "of 64 hexadecimal digits"},
        {"  2222222222222222", "  1111111111111111", nullptr},
        {"effect = refuse", "effect = keep_within", "needs data centres"},
        {"effect = refuse", "effect = leave_out", "leave_out needs shards"},
        {"[service_level search]",
         "[service_level a]\nservice = search\n"
         "[service_level search]",
         "service has the level a already"},
    };
    for (const auto& fault : faults) {
        const auto value = with_base_edit(fault.find, fault.replacement);
        const std::string errors = errors_of(value);
        if (fault.error != nullptr) {
            STRCMP_CONTAINS(fault.error, errors.c_str());
        } else {
            STRCMP_EQUAL("", errors.c_str());
        }
    }
}

TEST(settings_reader, refuses_gaps_between_shards)
{
    const auto value = with_base_edit(
        "[shard notes/all]\n", "[shard notes/end]\nkeys = 200-299\n"
                               "[backend_server notes-2]\nshard = notes/end\n"
                               "data_centre = south\nhost = 127.0.0.1\n"
                               "port = 4001\n[shard notes/all]\n");
    STRCMP_EQUAL("base.ini:50: shard notes/end.keys: gap after the keys of "
                 "notes/all\n",
                 errors_of(value).c_str());
}

TEST(settings_reader, refuses_a_key_granted_to_two_workspaces)
{
    published_value value = sample_value();
    const std::size_t at = value.base.find(std::string(64, '2'));
    value.base.replace(at, 64, std::string(64, '0'));
    STRCMP_CONTAINS("w1.key_digests: a digest is also granted to w0",
                    errors_of(value).c_str());
}

TEST(settings_reader, refuses_faults_of_an_overlay)
{
    const fault faults[] = {
        {"[fleet]\n", "lease = 4s\n",
         "overlays/north.ini:4: fleet.lease: holds for the whole fleet"},
        {"[workspace w0]\n", "rate = 1/s\n", "only the base file may set it"},
        {"[vm vm-0]\n", "host = 127.0.0.9\n", "only the base file may set it"},
        {"[data_centre south]\n", "in_service = false\n",
         "stands at another site than north"},
        {"[backend_server search-s0-r1]\n", "in_service = false\n",
         "stands at another site than north"},
        {"[service serch]\n", "max_hits = 1\n", "the base file has no such"},
        {"[rule quiet]\n", "enabld = false\n", "unknown key"},
        {"[rule new]\n", "services = search\n",
         "rule new.effect: required key is missing"},
        {"[rule quiet]\n", "workspaces = w9\n", "no workspace is named w9"},
    };
    for (const auto& fault : faults) {
        const auto value =
            with_overlay_text(std::string(fault.find) + fault.replacement);
        STRCMP_CONTAINS(fault.error, errors_of(value).c_str());
    }
}

TEST(settings_reader, refuses_an_overlay_for_no_site)
{
    published_value value = sample_value();
    value.overlays.push_back({"west", ""});
    STRCMP_EQUAL("overlays/west.ini:1: value: no data centre has the site "
                 "west\n",
                 errors_of(value).c_str());
    value.overlays.back().site = "north";
    STRCMP_CONTAINS("site has two overlays", errors_of(value).c_str());
}

TEST(settings_reader, reports_all_faults_at_once_in_order)
{
    auto value = with_base_edit("lease = 3s", "lease = 3");
    value.base += "[rule late]\neffect = forbid\n";
    value.overlays.back().text += "enable = no\n";
    STRCMP_EQUAL(
        "base.ini:3: fleet.lease: expected a time with ns, us, ms, s, min or "
        "h\n"
        "base.ini:74: rule late.effect: expected refuse, keep_within or "
        "leave_out\n"
        "overlays/south.ini:3: rule quiet.enable: unknown key\n",
        errors_of(value).c_str());
}

TEST(settings_reader, refuses_values_over_a_megabyte)
{
    published_value value = sample_value();
    const std::size_t overlays =
        value.overlays[0].text.size() + value.overlays[1].text.size() + 10;
    value.base.resize(max_value_bytes - overlays, '\n');
    STRCMP_EQUAL("", errors_of(value).c_str());
    value.base += '\n';
    STRCMP_CONTAINS("larger than 1048576 bytes", errors_of(value).c_str());
}

TEST(settings_reader, survives_random_bytes)
{
    const bool held =
        rc::check("random bytes are refused", [](const std::string& bytes) {
            RC_ASSERT(!errors_of({revision_number(1), bytes, {}}).empty());
        });
    CHECK_TRUE(held);
}

TEST(settings_reader, survives_mutated_values)
{
    const bool held = rc::check("mutated values are judged", [] {
        published_value value = sample_value();
        const auto edits = *rc::gen::inRange(1, 6);
        for (int i = 0; i < edits; ++i) {
            const auto size = static_cast<int>(value.base.size());
            const auto at = *rc::gen::inRange(0, size);
            const auto cut = *rc::gen::inRange(0, 40);
            const auto put = *rc::gen::element<std::string>(
                "", "[", "]", "\n", "=", "99999999999999999999", "-1", ".",
                "\n[service search]\n", "\n ", "\xC3", "%", " ; ", "ms");
            value.base.replace(at, cut, put);
        }
        const auto result = read_settings(value);
        const auto* errors = std::get_if<std::vector<settings_error>>(&result);
        const bool judged = errors == nullptr || !errors->empty();
        RC_ASSERT(judged);
    });
    CHECK_TRUE(held);
}
