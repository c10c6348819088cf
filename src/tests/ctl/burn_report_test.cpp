#include "cranberrywoodctl/burn_page.hpp"
#include "cranberrywoodctl/burn_report.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace cranberrywood::ctl;

namespace {

std::string status_with(const std::string& workspace, const char* counts)
{
    return R"({"levels":[{"workspace":")" + workspace +
           R"(","service":"search","windows":[{"length_s":300.0,)" + counts +
           "}]}]}";
}

const char* const some_counts = R"("requests":200,"late":4,)"
                                R"("short_of_whole":0,"refused":50,)"
                                R"("over_rate":50)";

} // namespace

TEST_GROUP(burn_report)
{
    burn_report report;
};

TEST(burn_report, sums_vms_and_divides_by_the_budget)
{
    CHECK_TRUE(report.add_status(status_with("w0", some_counts)));
    CHECK_TRUE(report.add_status(status_with("w0", some_counts)));
    const auto rows = report.rows();
    CHECK_EQUAL(1, rows.size());
    CHECK_EQUAL(400, rows[0].counts.requests);
    // 8 of 200 answers were late; the objective lets 1 in 100 be.
    DOUBLES_EQUAL(4.0, *rows[0].latency, 1e-9);
    DOUBLES_EQUAL(0.0, *rows[0].coverage, 1e-9);
    // 100 of 300 requests within the rate; the objective lets 1 in 1000 be.
    DOUBLES_EQUAL(1000.0 / 3, *rows[0].refusals, 1e-9);
}

TEST(burn_report, has_no_burn_where_nothing_was_counted)
{
    report.add_status(status_with(
        "w0", R"("requests":5,"late":0,"short_of_whole":0,"refused":0,)"
              R"("over_rate":5)"));
    CHECK_FALSE(report.rows()[0].latency.has_value());
    CHECK_FALSE(report.rows()[0].refusals.has_value());
}

TEST(burn_report, takes_nothing_of_a_malformed_status)
{
    const char* texts[] = {"", "[]", "{}", R"({"levels":[{}]})",
                           R"({"levels":[{"workspace":"w","service":"s",)"
                           R"("windows":[{"length_s":1,"requests":"x"}]}]})"};
    for (const auto* text : texts) {
        CHECK_FALSE_TEXT(report.add_status(text), text);
    }
    CHECK_TRUE(report.rows().empty());
}

TEST(burn_report, page_escapes_names_and_needs_no_other_file)
{
    report.add_status(status_with("<script>", some_counts));
    const auto page = burn_page(report.rows());
    CHECK(page.find("<script>") == std::string::npos);
    CHECK(page.find("&lt;script&gt;") != std::string::npos);
    CHECK(page.find("<svg") != std::string::npos);
    CHECK(page.find("src=") == std::string::npos);
    CHECK(page.find("href=") == std::string::npos);
}
