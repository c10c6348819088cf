#include "loop/memory_ledger.hpp"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace cranberrywood;

namespace {

constexpr memory_limits small_limits{800, 1600, 0, 0};

} // namespace

TEST_GROUP(memory_ledger)
{
    memory_ledger ledger;
    std::vector<memory_pressure> changes;

    void setup() override
    {
        ledger.limit(small_limits);
        ledger.on_change(
            [this](memory_pressure now) { changes.push_back(now); });
    }
};

// Guards against bytes that stay counted after their holder has gone, which
// would shut callers out for good.
TEST(memory_ledger, gives_back_what_a_holder_had)
{
    {
        memory_hold body(ledger, memory_account::request_reading);
        memory_hold answer(ledger, memory_account::caller_answers);
        body.set(100);
        answer.set(50);
        body.set(30);
        CHECK_EQUAL(80U, ledger.sum());
        CHECK_EQUAL(30U, ledger.bytes(memory_account::request_reading));
        CHECK_EQUAL(50U, ledger.bytes(memory_account::caller_answers));
    }
    CHECK_EQUAL(0U, ledger.sum());
    CHECK_EQUAL(0U, ledger.bytes(memory_account::request_reading));
}

// Guards against a limit that is missed when a sum jumps over both, and
// against one that alternates with every message near it.
TEST(memory_ledger, tells_each_change_once)
{
    memory_hold held(ledger, memory_account::parts);
    held.set(800);
    CHECK(changes.empty());
    held.set(801);
    held.set(790);
    held.set(810);
    CHECK((changes == std::vector<memory_pressure>{memory_pressure::soft}));
    held.set(699);
    CHECK(memory_pressure::none == ledger.pressure());
    held.set(2000);
    CHECK(memory_pressure::hard == ledger.pressure());
    held.set(1500);
    CHECK(memory_pressure::hard == ledger.pressure());
    held.set(1399);
    CHECK(memory_pressure::soft == ledger.pressure());
    held.set(1601);
    held.set(0);
    CHECK((changes == std::vector<memory_pressure>{
                          memory_pressure::soft, memory_pressure::none,
                          memory_pressure::hard, memory_pressure::soft,
                          memory_pressure::hard, memory_pressure::none}));
}

TEST(memory_ledger, says_how_much_must_go)
{
    memory_hold held(ledger, memory_account::parts);
    held.set(2000);
    CHECK_EQUAL(600U, ledger.excess_of(memory_pressure::hard));
    CHECK_EQUAL(1300U, ledger.excess_of(memory_pressure::soft));
    held.set(600);
    CHECK_EQUAL(0U, ledger.excess_of(memory_pressure::soft));
}

TEST(memory_ledger, has_no_limit_unless_one_is_set)
{
    memory_ledger plain;
    memory_hold held(plain, memory_account::parts);
    held.set(1UL << 40U);
    CHECK(memory_pressure::none == plain.pressure());
}

// Guards against limits that an ordinary load meets: the largest answer, or a
// thousand kept connections with a small request each.
TEST(memory_ledger, leaves_room_for_ordinary_load)
{
    constexpr std::size_t megabyte = 1024UL * 1024;
    for (const std::size_t memory_mb : {160UL, 256UL, 512UL}) {
        const memory_limits limits = limits_of_memory(memory_mb);
        CHECK(limits.soft < limits.hard);
        CHECK(limits.soft >= 8 * 4 * megabyte);
        CHECK(limits.hard <= memory_mb * megabyte / 2);
        CHECK(limits.soft >= 1000UL * 32768);
    }
}
