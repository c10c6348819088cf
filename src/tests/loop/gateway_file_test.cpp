#include "loop/gateway_file.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

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

struct valid_row
{
    const char* from;
    const char* to;
    std::uint32_t percent;
    double allowance;
    duration stop_within;
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
    DOUBLES_EQUAL(54.0, file.decisions.extra_send_allowance, 1e-9);
    STRCMP_EQUAL("10.1.0.17:7740", file.decisions.member.self.c_str());
    CHECK_EQUAL(2, file.decisions.member.seeds.size());
    STRCMP_EQUAL("10.2.0.28:7740", file.decisions.member.seeds[1].c_str());
}

TEST(gateway_file, reads_what_is_known_of_the_fleet_at_the_start)
{
    const auto plain = read_gateway_file(whole);
    const fleet_origin& unknown =
        std::get<gateway_file>(plain).decisions.member.origin;
    CHECK(!unknown.first_start);
    CHECK(unknown.data_centres.empty());
    CHECK(unknown.data_centre == id_of<data_centre_id>("austin"));
    const auto read = read_gateway_file(replaced("host = 10.1.0.17",
                                                 "host = 10.1.0.17\n"
                                                 "data_centres = austin,waco\n"
                                                 "first_start = true"));
    const fleet_origin& origin =
        std::get<gateway_file>(read).decisions.member.origin;
    CHECK(origin.first_start);
    CHECK_EQUAL(2U, origin.data_centres.size());
    CHECK(origin.data_centres[1] == id_of<data_centre_id>("waco"));
}

// Values that the users' platform may fill in: bounds are whole numbers or
// fractions, zero included, and a small deployment has the least of them.
TEST(gateway_file, takes_the_whole_range_of_a_deployment)
{
    const valid_row table[] = {
        {"saved = 54", "saved = 0", 20, 0.0, 6s},
        {"saved = 54", "saved = 0.9", 20, 0.9, 6s},
        {"saved = 54", "saved = 54.0", 20, 54.0, 6s},
        {"saved = 54", "saved = 1000000", 20, 1000000.0, 6s},
        {"share = 0.2", "share = 0", 0, 54.0, 6s},
        {"share = 0.2", "share = 0.0", 0, 54.0, 6s},
        {"share = 0.2", "share = 1", 100, 54.0, 6s},
        {"share = 0.2", "share = 1.5", 150, 54.0, 6s},
        {"within_s = 6", "within_s = 0.5", 20, 54.0, 500ms},
        {"within_s = 6", "within_s = 0", 20, 54.0, 0s},
        {"within_s = 6", "within_s = 90", 20, 54.0, 90s},
        {"seeds = 10.1.0.17:8360,10.2.0.28:8360\n", "", 20, 54.0, 6s},
        {"[extra_sends]\nshare = 0.2\nsaved = 54\n", "", 20, 50.0, 6s},
        {"ports = 7740,7755", "ports = 7740", 20, 54.0, 6s},
        {"host = 10.1.0.17", "host = 10.1.0.17\ndata_centres = ", 20, 54.0, 6s},
    };
    for (const valid_row& row : table) {
        const auto read = read_gateway_file(replaced(row.from, row.to));
        const auto* file = std::get_if<gateway_file>(&read);
        CHECK_TEXT(file != nullptr, row.to);
        const gateway_settings& settings = file->decisions;
        CHECK_EQUAL_TEXT(row.percent, settings.extra_send_percent, row.to);
        DOUBLES_EQUAL_TEXT(row.allowance, settings.extra_send_allowance, 1e-9,
                           row.to);
        CHECK_TEXT(file->stop_within == row.stop_within, row.to);
    }
}

TEST(gateway_file, reads_the_limits_of_the_vm)
{
    const auto plain = read_gateway_file(whole);
    CHECK(!std::get<gateway_file>(plain).memory_mb);
    CHECK(!std::get<gateway_file>(plain).open_files);
    const auto read = read_gateway_file(
        whole + "[limits]\nmemory_mb = 160\nopen_files = 4100\n");
    CHECK_EQUAL(160U, *std::get<gateway_file>(read).memory_mb);
    CHECK_EQUAL(4100U, *std::get<gateway_file>(read).open_files);
}

TEST(gateway_file, says_what_is_wrong_and_where)
{
    const mistake_row table[] = {
        {"callers = 10.1.0.17:8363", "callers = here:8363",
         "6: listen.callers: host must be an IP number"},
        {"share = 0.2", "share = 20",
         "15: extra_sends.share: must be a number"},
        {"share = 0.2", "share = nan", "15: extra_sends.share: must be a"},
        {"saved = 54", "saved = -1", "16: extra_sends.saved: must be a"},
        {"saved = 54", "first_start = 1", "16: extra_sends.first_start: must"},
        {"host = 10.1.0.17", "first_start = 1\nhost = 10.1.0.17",
         "4: vm.first_start: must"},
        {"host = 10.1.0.17", "data_centres = a,,b\nhost = 10.1.0.17",
         "4: vm.data_centres: must"},
        {"within_s = 6", "within_s = 6s", "18: stop.within_s: must be a"},
        {"saved = 54", "saved = x", "16: extra_sends.saved: must be a number"},
        {"ports = 7740,7755", "ports = 0,1", "10: peers.ports: must be"},
        {"within_s = 6\n", "within_s = 6\n[limits]\nmemory_mb = 47\n",
         "20: limits.memory_mb: must be a number from 48"},
        {"within_s = 6\n", "within_s = 6\n[limits]\nmemory_mb = 160.5\n",
         "20: limits.memory_mb: must be a number from 48"},
        {"within_s = 6\n", "within_s = 6\n[limits]\nopen_files = 263\n",
         "20: limits.open_files: must be a number from 264"},
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
