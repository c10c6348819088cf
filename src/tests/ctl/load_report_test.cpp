#include "cranberrywoodctl/load_report.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood::ctl;
using std::chrono::microseconds;

namespace {

vm_answer answered(const char* coverage)
{
    return {200, std::string(R"({"outcome":"answered","coverage":)") +
                     coverage + "}"};
}

} // namespace

TEST_GROUP(load_report)
{
    load_report report;
};

TEST(load_report, quantiles_are_those_of_the_answers)
{
    for (int i = 1; i <= 101; ++i) {
        report.add(
            answered(R"({"whole":true,"covered_keys":4,"total_keys":4})"),
            microseconds(i * 1000));
    }
    report.add(vm_unreachable{"vm", "refused"}, microseconds(9'000'000));
    CHECK_EQUAL(51'000, report.quantile(0.5).count());
    CHECK_EQUAL(100'000, report.quantile(0.99).count());
    CHECK_EQUAL(101'000, report.quantile(1).count());
}

TEST(load_report, tells_refusals_by_kind_and_coverage)
{
    report.add(answered(R"({"whole":false,"covered_keys":3,"total_keys":4})"),
               microseconds(1));
    report.add(vm_answer{429, R"({"outcome":"not_run","reason":"over_rate"})"},
               microseconds(1));
    report.add(vm_answer{502, "<html>"}, microseconds(1));
    report.add(answered(R"({"whole":3})"), microseconds(1));
    load_report all;
    all.add(report);
    const auto text = all.text(std::chrono::seconds(1));
    STRCMP_CONTAINS("answered 1, whole 0, keys covered 75%", text.c_str());
    STRCMP_CONTAINS("refused 1  not_run over_rate", text.c_str());
    STRCMP_CONTAINS("refused 1  HTTP 200", text.c_str());
    STRCMP_CONTAINS("refused 1  HTTP 502", text.c_str());
}

TEST(load_report, is_empty_without_requests)
{
    CHECK_EQUAL(0, report.quantile(0.99).count());
    STRCMP_CONTAINS("\"answered\": 0",
                    report.json_text(std::chrono::seconds(1)).c_str());
}
