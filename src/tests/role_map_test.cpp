#include "systems/members/role_map.hpp"

#include "fakes/sample_settings.hpp"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace cranberrywood;

TEST_GROUP(role_map)
{
    fakes::sample_shape shape;
};

TEST(role_map, owner_is_in_the_data_centre_of_its_server)
{
    const auto settings = fakes::sample_index(shape);
    const role_map map(settings);
    for (const auto& server : settings->all().backend_servers) {
        const auto first = map.candidates(map.owner_group(server)).front();
        CHECK(settings->find(first)->data_centre == server.data_centre);
    }
}

TEST(role_map, witness_set_is_bounded)
{
    shape.vms = 40;
    const role_map map(fakes::sample_index(shape));
    for (const auto group : map.groups()) {
        const auto set = map.witnesses(group);
        CHECK_EQUAL(8, std::set<vm_id>(set.begin(), set.end()).size());
    }
}

TEST(role_map, group_of_a_server_ignores_other_replicas)
{
    const auto few = fakes::sample_index(shape);
    shape.replicas = 3;
    const auto more = fakes::sample_index(shape);
    for (const auto& server : few->all().backend_servers) {
        CHECK(role_map(few).owner_group(server) ==
              role_map(more).owner_group(server));
    }
}
