#include "systems/settings/revision_delta.hpp"

#include "systems/settings/revision_text.hpp"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;

namespace {

constexpr std::size_t large_limit = 1'000'000;

rc::Gen<std::string> texts()
{
    const auto any_line = rc::gen::element<std::string>(
        "[a]", "[b]", "k = 1", "k = 2", "", "=0 1", "+1");
    const auto all = rc::gen::container<std::vector<std::string>>(any_line);
    return rc::gen::map(all, [](const std::vector<std::string>& lines) {
        std::string text;
        for (const auto& line : lines) {
            text += line + '\n';
        }
        return text;
    });
}

} // namespace

TEST_GROUP(revision_delta){};

TEST(revision_delta, restores_the_new_text)
{
    const bool held = rc::check("delta restores", [] {
        const auto before = *texts();
        const auto after = *texts() + *rc::gen::element<std::string>("", "x");
        const auto delta = make_delta(before, after);
        RC_ASSERT(apply_delta(before, delta, large_limit) == after);
    });
    CHECK_TRUE(held);
}

TEST(revision_delta, refuses_malformed_deltas)
{
    const char* deltas[] = {"x\n",
                            "\n",
                            "=0\n",
                            "=0 9\n",
                            "=3 1\n",
                            "=0 1",
                            "+2\na\n",
                            "+\n",
                            "=-1 1\n",
                            "+1\nq",
                            "=1 18446744073709551615\n"};
    for (const auto* delta : deltas) {
        CHECK_FALSE_TEXT(apply_delta("a\nb", delta, large_limit).has_value(),
                         delta);
    }
}

TEST(revision_delta, refuses_results_that_are_too_large)
{
    CHECK_TRUE(apply_delta("abcd", "=0 1\n", 4).has_value());
    CHECK_FALSE(apply_delta("abcd", "=0 1\n=0 1\n", 8).has_value());
}

TEST(revision_delta, random_deltas_stay_within_the_size_limit)
{
    const bool held = rc::check("random deltas", [] {
        const auto delta = *texts();
        const auto text = apply_delta("a\nb\nc", delta, 100);
        const bool bounded = !text || text->size() <= 100;
        RC_ASSERT(bounded);
    });
    CHECK_TRUE(held);
}

TEST(revision_delta, reads_back_the_text_of_a_value)
{
    const published_value value{revision_number(3),
                                "a\nb",
                                {{"south", ""}, {"north", "overlay 1 x\n"}}};
    const auto text = revision_text(value);
    const auto read = read_revision_text(text, revision_number(3));
    CHECK_TRUE(read.has_value());
    CHECK(read->base == value.base);
    STRCMP_EQUAL("north", read->overlays.front().site.c_str());
    CHECK(revision_text(*read) == text);
    for (std::size_t cut = 0; cut + 1 < text.size(); ++cut) {
        const auto truncated = read_revision_text(text.substr(0, cut), {});
        const bool incomplete = !truncated || truncated->overlays.size() < 2;
        CHECK_TRUE(incomplete);
    }
}
