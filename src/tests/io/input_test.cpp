#include <rapidcheck.h>

#include "core/random_source.hpp"
#include "io/platform_json.hpp"
#include "io/process_settings.hpp"
#include "io/request_json.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;

namespace {

struct refused_request
{
    request_kind kind;
    const char* json;
    reason why;
    const char* field;
};

/** Pieces from which random input is put together, so that some is valid. */
std::string random_text(std::uint64_t seed,
                        const std::vector<std::string>& pieces)
{
    seeded_random random(seed);
    std::string text;
    const std::uint64_t count = random.below(24);
    for (std::uint64_t i = 0; i < count; ++i) {
        text += pieces[random.below(pieces.size())];
    }
    return text;
}

const std::string whole_settings = "[vm]\n"
                                   "name = entry-1\n"
                                   "data_centre = austin\n"
                                   "site = austin\n"
                                   "host = 127.0.0.1\n"
                                   "peer_port = 21001\n"
                                   "http_port = 22001\n"
                                   "[platform]\n"
                                   "configuration = 127.0.0.1:20080\n"
                                   "vm_list = 127.0.0.1:20080\n";

/** Returns the first error of a settings file, else nothing. */
std::string error_of(const std::string& text)
{
    const auto read = read_process_settings(text);
    const auto* errors = std::get_if<process_settings_errors>(&read);
    return errors == nullptr ? "" : errors->front();
}

} // namespace

TEST_GROUP(input){};

TEST(input, bad_requests_are_refused_by_field)
{
    const auto query = request_kind::query;
    const auto lookup = request_kind::lookup;
    const refused_request table[] = {
        {query, "", reason::malformed, ""},
        {query, "[]", reason::malformed, ""},
        {query, "{\"service\":", reason::malformed, ""},
        {query, "{\"service\":\"\xff\"}", reason::malformed, ""},
        {query, R"({"deadline_ms":5,"body":""})", reason::malformed, "service"},
        {query, R"({"service":7,"deadline_ms":5,"body":""})", reason::malformed,
         "service"},
        {query, R"({"service":"a","body":""})", reason::deadline_invalid,
         "deadline_ms"},
        {query, R"({"service":"a","deadline_ms":0,"body":""})",
         reason::deadline_invalid, "deadline_ms"},
        {query, R"({"service":"a","deadline_ms":-1,"body":""})",
         reason::deadline_invalid, "deadline_ms"},
        {query, R"({"service":"a","deadline_ms":1e30,"body":""})",
         reason::deadline_invalid, "deadline_ms"},
        {query, R"({"service":"a","deadline_ms":3600001,"body":""})",
         reason::deadline_invalid, "deadline_ms"},
        {query, R"({"service":"a","deadline_ms":5})", reason::malformed,
         "body"},
        {query, R"({"service":"a","deadline_ms":5,"body":"","hit_limit":0})",
         reason::malformed, "hit_limit"},
        {query, R"({"service":"a","deadline_ms":5,"body":"","hits":1})",
         reason::malformed, "hits"},
        {lookup, R"({"service":"a","deadline_ms":5,"body":"","key":1})",
         reason::malformed, "request_id"},
        {lookup,
         R"({"service":"a","deadline_ms":5,"body":"","request_id":"r"})",
         reason::malformed, "key"},
    };
    for (const refused_request& row : table) {
        const auto read = read_request(row.json, row.kind);
        const auto* fault = std::get_if<request_fault>(&read);
        CHECK_TEXT(fault != nullptr, row.json);
        CHECK_TEXT(fault->why == row.why, row.json);
        STRCMP_EQUAL(row.field, fault->field.c_str());
    }
}

TEST(input, a_lookup_is_read_whole)
{
    const auto read = read_request(
        R"({"service":"a","deadline_ms":5,"body":"b","request_id":"r","key":9})",
        request_kind::lookup);
    const auto& request = std::get<caller_request>(read);
    CHECK(request.is_lookup());
    CHECK_EQUAL(9, request.lookup_key);
    CHECK(request.deadline == std::chrono::milliseconds(5));
}

TEST(input, random_json_is_read_or_refused)
{
    const std::vector<std::string> pieces = {
        "{",    "}",        "[",           "]",        ":",     ",",
        "\"",   "\\u",      "\"service\"", "\"body\"", "\"x\"", "1",
        "-1e9", "\xc3\x28", "null",        "\"vms\"",  "true",  " "};
    CHECK(rc::check([&](std::uint64_t seed, const std::string& bytes) {
        for (const std::string& text : {random_text(seed, pieces), bytes}) {
            const auto read = read_request(text, request_kind::lookup);
            RC_ASSERT(std::holds_alternative<request_fault>(read));
            RC_ASSERT(!read_published_value(text));
            RC_ASSERT(!read_vm_list_json(text));
        }
    }));
}

TEST(input, mistakes_in_process_settings_are_named)
{
    const auto replaced = [](const char* from, const char* to) {
        std::string text = whole_settings;
        text.replace(text.find(from), std::string(from).size(), to);
        return text;
    };
    STRCMP_EQUAL("", error_of(whole_settings).c_str());
    STRCMP_EQUAL("5: vm.host: must be an IP number",
                 error_of(replaced("127.0.0.1", "localhost")).c_str());
    STRCMP_EQUAL("6: vm.peer_port: must be a number from 1 to 65535",
                 error_of(replaced("21001", "70000")).c_str());
    STRCMP_EQUAL("3: vm.centre: is not a known key",
                 error_of(replaced("data_centre", "centre")).c_str());
    STRCMP_EQUAL("0: vm.name: is missing",
                 error_of(replaced("name = entry-1\n", "")).c_str());
    STRCMP_EQUAL(
        "3: vm.name: is set twice",
        error_of(replaced("data_centre = austin", "name = b")).c_str());
}

TEST(input, random_settings_files_are_read_or_refused)
{
    const std::vector<std::string> pieces = {
        "[vm]\n", "[seeds]", "name", "=", "\n", ":",  "127.0.0.1:9", "x",
        ";",      "\xff",    " ",    "[", "]",  "\0", whole_settings};
    CHECK(rc::check([&](std::uint64_t seed, const std::string& bytes) {
        for (const std::string& text : {random_text(seed, pieces), bytes}) {
            const auto read = read_process_settings(text);
            const auto* errors = std::get_if<process_settings_errors>(&read);
            const bool named = errors == nullptr || !errors->empty();
            RC_ASSERT(named);
        }
    }));
}
