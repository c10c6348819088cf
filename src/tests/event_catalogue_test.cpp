#include <fstream>
#include <map>
#include <regex>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using events = std::map<int, std::string>;

/** Reads the number and name of each event with a two-group pattern. */
events read(const std::string& path, const std::regex& pattern, bool code_first)
{
    std::ifstream file(path);
    events found;
    std::string line;
    while (std::getline(file, line)) {
        std::smatch parts;
        if (std::regex_search(line, parts, pattern)) {
            const int code = std::stoi(parts[code_first ? 1 : 2]);
            found[code] = parts[code_first ? 2 : 1];
        }
    }
    return found;
}

} // namespace

TEST_GROUP(event_catalogue){};

// Paths are relative to the project root, in which tests are run.
TEST(event_catalogue, lists_every_event_of_the_code)
{
    const events code = read("src/core/log_codes.hpp",
                             std::regex(R"(^\s+(\w+) = (\d{4}),)"), false);
    const events listed =
        read("docs/EVENTS.md", std::regex(R"(^\| (\d{4}) \| (\w+) \|)"), true);
    CHECK(code.size() > 10);
    CHECK(code == listed);
}
