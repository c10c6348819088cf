#include "units/ids.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;

TEST_GROUP(ids){};

TEST(ids, equal_names_give_equal_ids)
{
    CHECK(id_of<vm_id>("entry-1") == id_of<vm_id>("entry-1"));
    CHECK(id_of<vm_id>("entry-1") != id_of<vm_id>("entry-2"));
}

TEST(ids, hash_is_the_same_on_every_machine)
{
    CHECK_EQUAL(0x2d06800538d394c2ULL, stable_hash(""));
}

TEST(ids, request_ids_of_two_workspaces_differ)
{
    CHECK(request_id_of(workspace_id(1), "lot-7") !=
          request_id_of(workspace_id(2), "lot-7"));
}

TEST(ids, shard_ids_are_scoped_by_their_service)
{
    CHECK(shard_id_of("dispatch", "s0") != shard_id_of("billing", "s0"));
}
