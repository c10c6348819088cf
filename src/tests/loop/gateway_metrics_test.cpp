#include "loop/gateway_metrics.hpp"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

relayed_answer relayed(unsigned status)
{
    return {"receipt", std::make_shared<const relayed_message>(
                           relayed_message{status, "", ""})};
}

/** Returns what a regular expression's first group matches, each once. */
std::set<std::string> names_in(const std::string& text, const char* pattern)
{
    std::set<std::string> names;
    const std::regex expression(pattern);
    for (std::sregex_iterator it(text.begin(), text.end(), expression), end;
         it != end; ++it) {
        names.insert((*it)[1]);
    }
    return names;
}

} // namespace

TEST_GROUP(gateway_metrics)
{
    gateway_metrics metrics;
    gateway_state state;
    memory_ledger memory;

    void setup() override
    {
        state.memory = &memory;
    }
};

TEST(gateway_metrics, answers_are_counted_by_outcome_and_reason)
{
    metrics.answered(relayed(200));
    metrics.answered(relayed(404));
    metrics.answered(relayed(503));
    metrics.answered(gathered_answer{{"r"}, 0, ""});
    metrics.answered(gathered_answer{{"r"}, 1, ""});
    metrics.answered(gathered_answer{{"r"}, 7, ""});
    metrics.answered(refused_answer{refusal_reason::over_rate, 1s});
    metrics.answered(failed_answer{failure_reason::timed_out});
    const std::string text = metrics.text(state);
    for (const char* line : {"{outcome=\"served\",reason=\"relayed\"} 2",
                             "{outcome=\"failed\",reason=\"server_status\"} 1",
                             "{outcome=\"served\",reason=\"gathered\"} 1",
                             "{outcome=\"partial\",reason=\"gathered\"} 2",
                             "{outcome=\"refused\",reason=\"over_rate\"} 1",
                             "{outcome=\"failed\",reason=\"timed_out\"} 1"}) {
        CHECK_TEXT(contains(text, std::string("cranberrywood_answers_total") +
                                      line + "\n"),
                   (std::string(line) + "\n" + text).c_str());
    }
}

TEST(gateway_metrics, the_state_of_the_vm_is_told)
{
    state.settings_version = 12;
    state.limits_share = 0.625;
    state.ready = true;
    state.ready_seconds = std::chrono::milliseconds(275);
    state.log_lines_dropped = 3;
    state.events = {{1601, 40}, {1205, 2}};
    state.server_connections.opened = 7;
    state.server_connections.count(close_reason::surplus);
    const std::string text = metrics.text(state);
    for (const char* line :
         {"cranberrywood_settings_version 12\n",
          "cranberrywood_limits_share 0.625\n", "cranberrywood_ready 1\n",
          "cranberrywood_ready_seconds 0.275\n",
          "cranberrywood_reaches_servers 0\n",
          "cranberrywood_log_lines_dropped_total 3\n",
          "cranberrywood_server_connections_opened_total 7\n",
          "cranberrywood_server_connections_closed_total{reason=\"surplus\"} "
          "1\n",
          "cranberrywood_server_connections_closed_total{reason=\"idle\"} 0\n",
          "cranberrywood_log_events_total{event=\"1601\"} 40",
          "cranberrywood_log_events_total{event=\"1205\"} 2"}) {
        CHECK_TEXT(contains(text, line), line);
    }
}

TEST(gateway_metrics, held_bytes_and_closed_connections_are_told)
{
    memory.limit({1000, 2000, 0, 0});
    memory_hold body(memory, memory_account::request_reading);
    body.set(70);
    state.closed.slow_bodies = 4;
    state.descriptors = 33;
    const std::string text = metrics.text(state);
    for (const char* line :
         {"cranberrywood_held_bytes{account=\"request_reading\"} 70",
          "cranberrywood_held_bytes_soft_limit 1000\n",
          "cranberrywood_held_bytes_hard_limit 2000\n",
          "cranberrywood_connections_closed_total{reason=\"slow_body\"} 4",
          "cranberrywood_descriptors 33\n"}) {
        CHECK_TEXT(contains(text, line), line);
    }
}

TEST(gateway_metrics, the_operators_page_lists_every_metric)
{
    std::ifstream file("docs/OPERATING.md");
    CHECK(file.good());
    std::stringstream page;
    page << file.rdbuf();
    metrics.answered(relayed(200));
    const auto told =
        names_in(metrics.text(state), "# TYPE cranberrywood_(\\w+) ");
    const auto listed = names_in(page.str(), "\\| `cranberrywood_(\\w+)` \\|");
    CHECK(told.size() >= 12);
    for (const std::string& name : told) {
        CHECK_TEXT(listed.count(name) == 1, name.c_str());
    }
    CHECK(listed == told);
}
