#include "process/play.hpp"
#include "process/standin_platform.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace cranberrywood::tests {

namespace {

using std::chrono::milliseconds;

/** Bytes that are no answer are known at once, long before the deadline. */
constexpr milliseconds longest_call{1000};
/** Lines of this prefix stand behind the server's own. */
constexpr const char* own_lines_end = "Content-Length";

struct spoiled_head
{
    const char* name;
    /** Status line and its end. */
    std::string first_line;
    /** Further lines with their ends. */
    std::string lines;
};

const std::vector<spoiled_head>& spoiled_heads()
{
    static const std::string ok = "HTTP/1.1 200 OK\r\n";
    static const std::vector<spoiled_head> heads = {
        {"status 000", "HTTP/1.1 000 Nothing\r\n", ""},
        {"status 099", "HTTP/1.1 099 Low\r\n", ""},
        {"status 600", "HTTP/1.1 600 High\r\n", ""},
        {"status 999", "HTTP/1.1 999 High\r\n", ""},
        {"status of two digits", "HTTP/1.1 20 OK\r\n", ""},
        {"status of four digits", "HTTP/1.1 2000 OK\r\n", ""},
        {"status with a letter", "HTTP/1.1 2x0 OK\r\n", ""},
        {"status 100 as an answer", "HTTP/1.1 100 Continue\r\n", ""},
        {"status 101 as an answer", "HTTP/1.1 101 Switching\r\n", ""},
        {"status 103 as an answer", "HTTP/1.1 103 Early Hints\r\n", ""},
        {"status 150 as an answer", "HTTP/1.1 150 Odd\r\n", ""},
        {"no status", "HTTP/1.1  OK\r\n", ""},
        {"two blanks before the status", "HTTP/1.1  200 OK\r\n", ""},
        {"version 1.2", "HTTP/1.2 200 OK\r\n", ""},
        {"version 2.0", "HTTP/2.0 200 OK\r\n", ""},
        {"lower case version", "http/1.1 200 OK\r\n", ""},
        {"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n", ""},
        {"carriage return in the reason", "HTTP/1.1 200 O\rK\r\n", ""},
        {"line ends without carriage return", "HTTP/1.1 200 OK\n", ""},
        {"blank line first", "\r\n" + ok, ""},
        {"blank in a name", ok, "X y: 1\r\n"},
        {"tab in a name", ok, "X\ty: 1\r\n"},
        {"control byte in a name", ok, "X\x01y: 1\r\n"},
        {"zero byte in a name", ok, std::string("X\0y: 1\r\n", 8)},
        {"delete byte in a name", ok, "X\x7fy: 1\r\n"},
        {"high byte in a name", ok, "X\xe9y: 1\r\n"},
        {"separator in a name", ok, "X(y): 1\r\n"},
        {"blank before the colon", ok, "X-Y : 1\r\n"},
        {"tab before the colon", ok, "X-Y\t: 1\r\n"},
        {"blank before the name", ok, " X-Y: 1\r\n"},
        {"no name", ok, ": 1\r\n"},
        {"no colon", ok, "X-Y\r\n"},
        {"control byte in a value", ok, "X-Y: a\x01z\r\n"},
        {"zero byte in a value", ok, std::string("X-Y: a\0z\r\n", 10)},
        {"delete byte in a value", ok, "X-Y: a\x7fz\r\n"},
        {"carriage return in a value", ok, "X-Y: a\rz\r\n"},
        {"line feed ends a line", ok, "X-Y: a\n"},
        {"folded line", ok, "X-Y: a\r\n b\r\n"},
        {"folded line first", ok, "\t: b\r\n"},
        {"length with a sign", ok, "Content-Length: +5\r\n"},
        {"length is hexadecimal", ok, "Content-Length: 0x5\r\n"},
        {"two lengths", ok, "Content-Length: 1\r\n"},
        {"two receipts", ok, "Response-Stamp: other\r\n"},
        {"two request ids", ok, "Request-Id: other\r\n"},
        {"empty coding", ok, "Transfer-Encoding:\r\n"},
        {"unknown coding", ok, "Transfer-Encoding: gzip\r\n"},
        {"coding and length", ok, "Transfer-Encoding: chunked\r\n"},
    };
    return heads;
}

/** The number of the head is the end of the path. */
server_reaction spoil(const std::string& server, const server_request& request)
{
    std::string answer = proper_answer(server, request);
    if (request.target.compare(0, 5, "/odd/") == 0) {
        const spoiled_head& head =
            spoiled_heads().at(std::stoul(request.target.substr(5)));
        const std::size_t first = answer.find("\r\n") + 2;
        const std::size_t last = answer.find(own_lines_end);
        // Every second server spoils the first lines, the others the last.
        const bool first_lines = server.back() % 2 == 0;
        answer = head.first_line + (first_lines ? head.lines : "") +
                 answer.substr(first, last - first) +
                 (first_lines ? "" : head.lines) + answer.substr(last);
    }
    return {milliseconds(1), answer, false};
}

} // namespace

play_report play_spoiled_heads(const play_plan& plan)
{
    play_report report;
    platform_plan started{plan.program, plan.folder};
    started.vms = plan.vms;
    standin_platform platform(started, spoil);
    report.check(platform.start_ready(), "READY", "VMs are not ready in time");
    caller_habits habits;
    for (std::size_t i = 0; i < spoiled_heads().size(); ++i) {
        habits.targets.push_back("/odd/" + std::to_string(i));
        habits.targets.push_back("/lot/" + std::to_string(i));
    }
    std::vector<std::unique_ptr<caller>> callers;
    for (unsigned i = 0; i < plan.vms * 4; ++i) {
        callers.push_back(std::make_unique<caller>(
            i, i % plan.vms, platform.targets(), habits, plan.seed + i));
    }
    std::this_thread::sleep_for(plan.length);
    std::map<std::string, std::string> passed;
    std::set<std::string> late;
    for (const auto& each : callers) {
        for (const call_result& call : each->finish()) {
            ++report.counts["status_" + call.status()];
            const bool odd = call.target.compare(0, 5, "/odd/") == 0;
            const server_side side = platform.record().of(call.id);
            if (odd) {
                // The answer of the service is none: the caller must get a
                // failure of the system, or a refusal if it has not run.
                const bool own = call.status() == "502" ||
                                 call.status() == "503" ||
                                 call.status() == "504";
                const std::string name =
                    spoiled_heads()[std::stoul(call.target.substr(5))].name;
                if (!own && side.servers.size() > 0) {
                    passed[name] = call.head + "|" + call.body;
                }
                report.check(call.status() != "503" || side.answered == 0,
                             "REFUSED", name);
                if (call.ended - call.sent > longest_call) {
                    late.insert(name);
                }
                continue;
            }
            const bool whole =
                call.status() != "200" ||
                call.body.compare(0, 9 + call.id.size(),
                                  "body of " + call.id + " ") == 0;
            report.check(whole, "MIXED",
                         "an answer of another request: " + call.body);
        }
    }
    for (const auto& [name, bytes] : passed) {
        report.check(false, "MIXED", name + ": " + bytes);
    }
    for (const std::string& name : late) {
        report.check(false, "MIXED", name + ": answered late");
    }
    return report;
}

} // namespace cranberrywood::tests
