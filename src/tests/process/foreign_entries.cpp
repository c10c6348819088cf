#include "process/play.hpp"
#include "process/standin_platform.hpp"

#include <algorithm>
#include <csignal>
#include <random>

namespace cranberrywood::tests {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds ready_time{6000};
constexpr milliseconds serving_time{1000};
/** Lists that a VM may start, over and above the pages of one. */
constexpr std::uint64_t spare_lists = 3;
/** Store items beside those of other writers: configuration and servers. */
constexpr std::uint64_t own_items = 9;

struct foreign_entry
{
    const char* name;
    std::string key;
};

const std::vector<foreign_entry>& foreign_entries()
{
    static const std::vector<foreign_entry> entries = {
        {"ampersand", "servers/i-desk0&x"},
        {"plus", "servers/i-desk0+x"},
        {"hash", "servers/i-desk0#x"},
        {"percent", "servers/i-desk0%x"},
        {"percent and digits", "servers/i-desk0%41"},
        {"blank", "servers/i-desk0 x"},
        {"question mark", "servers/i-desk0?x"},
        {"equals sign", "servers/i-desk0=x"},
        {"semicolon", "servers/i-desk0;x"},
        {"slash", "servers/i-desk0/x"},
        {"backslash and quote", "servers/i-desk0\\\"x"},
        {"line feed", "servers/i-desk0\nx"},
        {"head of a request", "servers/i-desk0 HTTP/1.1\r\nX: y\r\n\r\nGET /"},
        {"control byte", "servers/i-desk0\x01x"},
        {"zero byte", std::string("servers/i-desk0\0x", 17)},
        {"delete byte", "servers/i-desk0\x7fx"},
        {"letters beyond ASCII", "servers/i-desk0\xc3\xa9"},
        {"byte that is not UTF-8", "servers/i-desk0\xc3"},
        {"greatest byte", "servers/i-desk0\xff"},
        {"no name", "servers/"},
        {"longest name", "servers/i-desk0" + std::string(185, '&')},
        {"operator's key", "op/evacuate/x&y z"},
        {"unknown operator's key", "op/a&b#c d"},
    };
    return entries;
}

const std::vector<std::string>& foreign_values()
{
    static const std::vector<std::string> values = {
        "",
        "{}",
        "[]",
        "7",
        std::string("\xff\x00\x01", 3),
        R"({"service":"desk","address":"127.0.0.1:1","zone":"dc-a",)"
        R"("max_concurrency":"many","state":"ready","cold_remaining_ms":0,)"
        R"("sequence":1})",
        R"({"service":7,"state":[]})",
    };
    return values;
}

void restart_all(standin_platform& platform)
{
    for (const auto& vm : platform.vms()) {
        vm->signal(SIGKILL);
        vm->wait_for_end(std::chrono::seconds(2));
    }
    platform.start_vms();
}

/** Returns the share of requests that are answered with a success. */
double served_share(standin_platform& platform, std::uint32_t seed)
{
    std::vector<std::unique_ptr<caller>> callers;
    for (unsigned i = 0; i < platform.vms().size(); ++i) {
        caller_habits habits;
        habits.targets = {"/lot/a"};
        callers.push_back(
            std::make_unique<caller>(i, i, platform.targets(), habits, seed));
    }
    std::this_thread::sleep_for(serving_time);
    std::size_t served = 0;
    std::size_t all = 0;
    for (const auto& each : callers) {
        for (const call_result& call : each->finish()) {
            ++all;
            served += call.status() == "200" ? 1 : 0;
        }
    }
    return all == 0 ? 0.0 : static_cast<double>(served) / all;
}

} // namespace

play_report play_foreign_entries(const play_plan& plan)
{
    play_report report;
    std::mt19937 random(plan.seed);
    platform_plan started{plan.program, plan.folder};
    started.vms = plan.vms;
    started.page_items = 1 + random() % 3;
    standin_platform platform(
        started, [](const auto& server, const auto& request) {
            return server_reaction{milliseconds(5),
                                   proper_answer(server, request), false};
        });
    const auto restart_and_check = [&](const std::string& name,
                                       std::uint64_t foreign) {
        const std::uint64_t before = platform.store().lists();
        restart_all(platform);
        const bool ready = platform.wait_ready(plan.vms, ready_time);
        report.check(ready, "RECOVER",
                     name + ": " + std::to_string(platform.ready_vms()) +
                         " of " + std::to_string(plan.vms) + " VMs ready");
        const double share = served_share(platform, random());
        report.check(share >= 0.95, "RECOVER",
                     name + ": served share " + std::to_string(share));
        const std::uint64_t lists = platform.store().lists() - before;
        const std::uint64_t most =
            plan.vms * (own_items + foreign + spare_lists);
        report.check(lists <= most, "RECOVER",
                     name + ": " + std::to_string(lists) +
                         " list calls, expected at most " +
                         std::to_string(most));
        ++report.counts["restarts"];
    };
    for (const foreign_entry& entry : foreign_entries()) {
        const auto& values = foreign_values();
        platform.store().put(entry.key, values[random() % values.size()]);
        restart_and_check(entry.name, 1);
        platform.store().remove(entry.key);
    }
    // Readable, with the address of a server that has another name.
    for (const char* key : {"servers/i-desk0&copy", "servers/i-copy"}) {
        platform.store().put(key, platform.proper_entry());
        restart_and_check(key, 1);
        platform.store().remove(key);
    }
    for (const foreign_entry& entry : foreign_entries()) {
        platform.store().put(entry.key, "{}");
    }
    restart_and_check("all together", foreign_entries().size());
    return report;
}

} // namespace cranberrywood::tests
