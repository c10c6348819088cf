#include "loop/gateway_file.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;

namespace {

const std::string whole = "[vm]\n"
                          "name = entry-1\n"
                          "data_centre = austin\n"
                          "host = 10.1.0.17\n"
                          "[listen]\n"
                          "callers = 10.1.0.17:8363\n"
                          "ready = 10.1.0.17:8364\n"
                          "control = 10.1.0.17:8360\n"
                          "[peers]\n"
                          "ports = 7740,7755\n"
                          "seeds = 10.1.0.17:8360,10.2.0.28:8360\n"
                          "[store]\n"
                          "address = 10.200.1.7:8361\n"
                          "[extra_sends]\n"
                          "share = 0.2\n"
                          "saved = 54\n"
                          "[stop]\n"
                          "within_s = 6\n";

struct mistake_row
{
    const char* from;
    const char* to;
    const char* error;
};

std::string replaced(const std::string& from, const std::string& to)
{
    std::string text = whole;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_GROUP(gateway_file){};

TEST(gateway_file, reads_a_whole_file)
{
    const auto read = read_gateway_file(whole);
    const auto& file = std::get<gateway_file>(read);
    CHECK(file.callers == (endpoint{"10.1.0.17", 8363}));
    CHECK_EQUAL(7740, file.peer_port);
    CHECK_EQUAL(20U, file.decisions.extra_send_percent);
    CHECK_EQUAL(54U, file.decisions.extra_send_allowance);
    STRCMP_EQUAL("10.1.0.17:7740", file.decisions.member.self.c_str());
    CHECK_EQUAL(2, file.decisions.member.seeds.size());
    STRCMP_EQUAL("10.2.0.28:7740", file.decisions.member.seeds[1].c_str());
}

TEST(gateway_file, says_what_is_wrong_and_where)
{
    const mistake_row table[] = {
        {"callers = 10.1.0.17:8363", "callers = here:8363",
         "6: listen.callers: host must be an IP number"},
        {"share = 0.2", "share = 2", "15: extra_sends.share: must be a share"},
        {"saved = 54", "saved = x", "16: extra_sends.saved: must be a number"},
        {"ports = 7740,7755", "ports = 0,1", "10: peers.ports: must be"},
        {"name = entry-1\n", "", "0: vm.name: is missing"},
        {"[stop]", "[stopp]", "18: stopp.within_s: is not a known key"},
        {"10.2.0.28:8360", "10.2.0.28", "11: peers.seeds: 10.2.0.28 must be"},
    };
    for (const mistake_row& row : table) {
        const auto read = read_gateway_file(replaced(row.from, row.to));
        const auto* errors = std::get_if<process_file_errors>(&read);
        CHECK_TEXT(errors != nullptr, row.error);
        STRNCMP_EQUAL(row.error, errors->front().c_str(),
                      std::string(row.error).size());
    }
}
