#include "systems/queries/version_pins.hpp"

#include "fakes/sample_settings.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

TEST_GROUP(version_pins)
{
    time_point now{1h};
    std::shared_ptr<const settings_index> settings = fakes::sample_index();
    const service_id service = id_of<service_id>("search");
    version_pins pins;

    void report(const char* server, std::uint64_t oldest, std::uint64_t newest)
    {
        pins.observe({id_of<backend_server_id>(server), index_version(oldest),
                      index_version(newest)},
                     now);
    }

    std::uint64_t pinned()
    {
        return pins.pin(service, *settings).value();
    }
};

TEST(version_pins, starts_from_the_published_version)
{
    CHECK_EQUAL(1, pinned());
    CHECK(pins.may_hold(id_of<backend_server_id>("s0-r0"), index_version(9)));
}

TEST(version_pins, moves_when_every_shard_has_the_new_version)
{
    report("s0-r0", 1, 2);
    report("s1-r0", 1, 2);
    report("s2-r1", 1, 2);
    CHECK_EQUAL(1, pinned());
    report("s3-r0", 1, 2);
    CHECK_EQUAL(2, pinned());
    CHECK_FALSE(
        pins.may_hold(id_of<backend_server_id>("s3-r0"), index_version(3)));
}

TEST(version_pins, without_a_common_version_picks_most_covered_keys)
{
    for (const char* server :
         {"s0-r0", "s0-r1", "s1-r0", "s1-r1", "s2-r0", "s2-r1"}) {
        report(server, 2, 2);
    }
    report("s3-r0", 1, 1);
    report("s3-r1", 1, 1);
    CHECK_EQUAL(2, pinned());
}

TEST(version_pins, server_out_of_service_does_not_count)
{
    report("s0-r0", 1, 2);
    report("s1-r0", 1, 2);
    report("s2-r0", 1, 2);
    report("s3-r0", 1, 2);
    auto changed = fakes::sample_settings();
    changed.revision = revision_number(2);
    changed.data_centres[0].in_service = false;
    settings = std::make_shared<settings_index>(changed);
    CHECK_EQUAL(1, pinned());
}

TEST(version_pins, old_reports_expire)
{
    report("s0-r0", 5, 5);
    now += 1min;
    pins.tick(now);
    CHECK(pins.may_hold(id_of<backend_server_id>("s0-r0"), index_version(1)));
}
