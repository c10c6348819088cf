#include <rapidcheck.h>

#include "systems/queries/record_merge.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace cranberrywood;

TEST_GROUP(record_merge){
    static std::string record(char fill){return std::string(record_bytes, fill);
}
}
;

TEST(record_merge, compares_unsigned_bytes_and_keeps_duplicates)
{
    const std::string high = record('\xff');
    const std::string low = record('a');
    const std::string part = low + high;
    const std::string merged = merge_records({part, part, high}, 4);
    CHECK(merged == high + high + high + low);
}

TEST(record_merge, ignores_an_incomplete_record)
{
    const std::string part = record('b') + "zzzzzzz";
    CHECK(merge_records({part}, 5) == record('b'));
    CHECK(merge_records({"zz"}, 5).empty());
    CHECK(merge_records({}, 5).empty());
}

TEST(record_merge, property_equals_sorting_all_records)
{
    const bool holds = rc::check([] {
        const auto texts = *rc::gen::container<std::vector<std::string>>(
            rc::gen::string<std::string>());
        const auto most = *rc::gen::inRange<std::uint32_t>(0, 12);
        std::vector<std::string> parts;
        std::vector<std::string> all;
        for (const std::string& text : texts) {
            std::string part;
            for (int i = 0; i < 5; ++i) {
                part += text;
            }
            for (std::size_t i = 0; i + record_bytes <= part.size();
                 i += record_bytes) {
                all.push_back(part.substr(i, record_bytes));
            }
            parts.push_back(part);
        }
        std::sort(all.begin(), all.end(), std::greater<>());
        all.resize(std::min<std::size_t>(all.size(), most));
        std::string expected;
        for (const std::string& r : all) {
            expected += r;
        }
        RC_ASSERT(merge_records({parts.begin(), parts.end()}, most) ==
                  expected);
    });
    CHECK(holds);
}
