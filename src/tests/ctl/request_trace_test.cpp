#include "cranberrywoodctl/request_trace.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood::ctl;

namespace {

std::vector<log_line> read_all(const std::vector<std::string>& texts)
{
    std::vector<log_line> lines;
    for (const std::string& text : texts) {
        if (auto line = read_log_line(text)) {
            lines.push_back(*line);
        }
    }
    return lines;
}

const std::vector<std::string> logs = {
    "2026-09-07T16:02:10.000000Z CW1101 vm=a revision=3",
    "2026-09-07T16:02:20.000000Z CW1101 vm=a revision=4",
    "2026-09-07T16:02:20.000000Z CW1101 vm=b revision=4",
    "2026-09-07T16:02:01.000000Z CW1505 vm=a server=i-1 cause=late",
    "2026-09-07T16:02:21.500000Z CW1505 vm=b server=i-1 by=self cause=late",
    "2026-09-07T16:02:21.550000Z CW1505 vm=b server=i-1 by=c cause=told",
    "2026-09-07T16:02:21.560000Z CW1501 vm=b server=i-1 draining=no",
    "2026-09-07T16:02:21.600000Z CW1505 vm=b server=i-9 cause=late",
    "  12.5 front-a 2026-09-07T16:02:22.300000Z CW1602 vm=a request=r1 "
    "unanswered=\"orders:sent[i-1@90,i-2@30lost] desk:waiting[]\" "
    "outcome=timed_out",
    "2026-09-07T16:02:22.200000Z CW1506 vm=a request=r1 server=i-2",
    "2026-09-07T16:02:23.000000Z CW1505 vm=a server=i-1 cause=late",
    "2026-09-07T16:02:22.000000Z CW1601 vm=b request=r2 why=over_rate",
    "not an event",
};

} // namespace

TEST_GROUP(request_trace){};

TEST(request_trace, a_log_line_is_read_with_its_fields)
{
    const auto line = read_log_line(
        "x 2026-09-07T16:02:22.5Z CW1602 vm=a request=r1 why=\"a b\" n=1");
    CHECK(line.has_value());
    STRCMP_EQUAL("2026-09-07T16:02:22.5Z", line->time.c_str());
    STRCMP_EQUAL("a", line->vm.c_str());
    CHECK_EQUAL(1602U, line->code);
    STRCMP_EQUAL("a b", line->field("why").value().c_str());
    STRCMP_EQUAL("1", line->field("n").value().c_str());
    CHECK(!line->field("vm").has_value());
}

TEST(request_trace, what_is_no_event_is_passed_over)
{
    for (const char* text : {"", "CW1602 vm=a", "x CW16 vm=a", "x CWabcd vm=a",
                             "x CW160", " CW", "time CW1602"}) {
        const auto line = read_log_line(text);
        CHECK(!line.has_value() || line->fields.empty());
    }
}

TEST(request_trace, a_request_is_explained_in_order)
{
    const auto entries = trace_of("r1", read_all(logs));
    CHECK_EQUAL(4U, entries.size());
    // The configuration in force, the server's trouble, the loss, the end.
    CHECK_EQUAL(1101U, entries[0].line.code);
    STRCMP_EQUAL("4", entries[0].line.field("revision").value().c_str());
    CHECK(entries[0].why == relevance::vm_state);
    STRCMP_EQUAL("i-1", entries[1].line.field("server").value().c_str());
    CHECK(entries[1].why == relevance::server);
    STRCMP_EQUAL("b", entries[1].line.vm.c_str());
    CHECK_EQUAL(1506U, entries[2].line.code);
    CHECK_EQUAL(1602U, entries[3].line.code);
    CHECK(entries[3].why == relevance::request);
}

TEST(request_trace, a_request_that_no_event_names_has_no_trace)
{
    CHECK(trace_of("r3", read_all(logs)).empty());
    CHECK(trace_of("r1", {}).empty());
}
