#include "settings/value_text.hpp"

#include "settings/text_check.hpp"
#include "settings/value_reader.hpp"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;

namespace {

constexpr std::uint64_t any = ~std::uint64_t{0};

std::optional<std::uint64_t> read(const char* text, value_unit unit)
{
    const auto result = read_number(text, {unit, 0, any});
    const auto* number = std::get_if<std::uint64_t>(&result);
    return number == nullptr ? std::nullopt : std::make_optional(*number);
}

} // namespace

TEST_GROUP(value_text){};

TEST(value_text, reads_exact_decimals)
{
    CHECK(read("320ms", value_unit::time) == 320'000'000);
    CHECK(read("1.5s", value_unit::time) == 1'500'000'000);
    CHECK(read("2.5/s", value_unit::rate) == 2'500);
    CHECK(read("99.95%", value_unit::share) == 999'500);
    CHECK(read("64KiB", value_unit::bytes) == 65'536);
    CHECK(read("18446744073709551615", value_unit::count) == any);
}

TEST(value_text, refuses_what_is_not_exact_or_does_not_fit)
{
    const char* texts[] = {"",     "s",      "1",           ".5s",
                           "1.s",  "1.2.3s", "-1s",         "+1s",
                           "1 s",  "1e3s",   "0.1ns",       "1S",
                           "1sec", "1ss",    "9999999999h", "1.0000000001s"};
    for (const auto* text : texts) {
        CHECK_FALSE_TEXT(read(text, value_unit::time).has_value(), text);
    }
    CHECK_FALSE(read("0.0001/s", value_unit::rate).has_value());
    CHECK_FALSE(read("1.5%", value_unit::percent).has_value());
    CHECK_FALSE(read("18446744073709551616", value_unit::count).has_value());
}

TEST(value_text, reads_back_what_it_prints)
{
    const bool held = rc::check("numbers survive", [](std::uint64_t number) {
        for (const auto unit :
             {value_unit::count, value_unit::time, value_unit::bytes,
              value_unit::percent, value_unit::ppm, value_unit::share,
              value_unit::rate, value_unit::milli}) {
            const auto text = number_text(number, unit);
            RC_ASSERT(read(text.c_str(), unit) == number);
        }
    });
    CHECK_TRUE(held);
}

TEST(value_text, tells_utf8_from_other_bytes)
{
    CHECK_TRUE(is_utf8("caf\xC3\xA9 \xF0\x9F\x8C\xB3"));
    const char* broken[] = {
        "\x80",    "\xC3", "\xC0\xAF", "\xED\xA0\x80", "\xF5\x80\x80\x80",
        "\xE2\x82"};
    for (const auto* bytes : broken) {
        CHECK_FALSE(is_utf8(bytes));
    }
}

TEST(value_text, finds_names_whose_ids_collide)
{
    known_names names;
    CHECK_FALSE(names.add(7, "a").has_value());
    CHECK_FALSE(names.add(7, "a").has_value());
    CHECK(names.add(7, "b") == std::string("a"));
}
