#include "process/play.hpp"
#include "process/standin_platform.hpp"

#include <algorithm>
#include <csignal>
#include <random>

namespace cranberrywood::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr unsigned callers_of_vm = 8;
constexpr milliseconds grace{6000};
/** After its last byte, a request that was read must have an answer. */
constexpr milliseconds loss_slack{200};
/** Requests sent by then may be cut when their server works until the end. */
constexpr milliseconds excused_until{3000};
/** A server at work in the last sixth of the grace time excuses its cut. */
constexpr milliseconds last_sixth{5000};
constexpr milliseconds ready_time{8000};

struct stop_record
{
    unsigned vm = 0;
    /** It accepted connections when it was asked to stop. */
    bool listening = false;
    steady_time at;
    steady_time gone;
    int status = 0;
};

/** Most requests are short; a few work for most of their deadline. */
server_reaction react(const std::string& server, const server_request& request)
{
    const std::size_t drawn =
        std::hash<std::string>()(request.id + "work") % 100;
    const std::size_t work = drawn < 70   ? 20 + drawn
                             : drawn < 95 ? 10 * drawn
                                          : 16 * drawn;
    return {milliseconds(work), proper_answer(server, request), false};
}

/** Signals a VM, sometimes twice, waits for its end and starts it again. */
stop_record stop_vm(standin_platform& platform, unsigned vm, bool twice)
{
    stop_record stop;
    stop.vm = vm;
    vm_process& process = *platform.vms()[vm];
    stop.listening =
        plain_socket(connect_to(process.host(), process.callers_port()))
            .is_open();
    stop.at = steady_clock::now();
    process.signal(SIGTERM);
    if (twice) {
        std::this_thread::sleep_for(milliseconds(300));
        process.signal(SIGHUP);
        process.signal(SIGTERM);
    }
    auto status = process.wait_for_end(grace);
    if (!status) {
        process.signal(SIGKILL);
        status = process.wait_for_end(grace);
    }
    stop.status = *status;
    stop.gone = steady_clock::now();
    process.start();
    return stop;
}

const stop_record* stop_around(const call_result& call,
                               const std::vector<stop_record>& stops)
{
    for (const stop_record& stop : stops) {
        if (stop.vm == call.vm && call.ended >= stop.at &&
            call.sent <= stop.gone) {
            return &stop;
        }
    }
    return nullptr;
}

std::int64_t since(steady_time from, steady_time to)
{
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

std::string describe(const call_result& call, const server_side& side,
                     const stop_record* stop)
{
    std::string text =
        call.id + " at vm-" + std::to_string(call.vm) + " " + call.target +
        (call.kept ? " kept" : " fresh") +
        " lasted_ms=" + std::to_string(since(call.sent, call.ended)) +
        " servers=" + std::to_string(side.servers.size());
    if (stop != nullptr) {
        text += " sent_ms=" + std::to_string(since(stop->at, call.sent)) +
                " cut_ms=" + std::to_string(since(stop->at, call.ended)) +
                " gone_ms=" + std::to_string(since(stop->at, stop->gone));
    }
    return text;
}

void judge(const call_result& call, exchange_record& record,
           const std::vector<stop_record>& stops, play_report& report)
{
    const server_side side = record.of(call.id);
    const stop_record* stop = stop_around(call, stops);
    ++report.counts["requests"];
    if (call.end == call_end::answered) {
        ++report.counts["status_" + call.status()];
        const bool right = call.status() != "200" ||
                           call.body.compare(0, 9 + call.id.size(),
                                             "body of " + call.id + " ") == 0;
        report.check(right, "MIXED", describe(call, side, stop));
        const bool promised = call.status() == "503" || call.status() == "429";
        report.check(!promised || side.answered == 0, "REFUSED",
                     describe(call, side, stop));
        report.check(call.target.compare(0, 7, "/order/") != 0 ||
                         side.servers.size() <= 1,
                     "TWICE", describe(call, side, stop));
        return;
    }
    report.check(call.end != call_end::silent, "LOST",
                 "never ended: " + describe(call, side, stop));
    if (call.end != call_end::closed) {
        return;
    }
    const bool passed_on = !side.servers.empty();
    const bool excused = stop != nullptr &&
                         call.sent - stop->at <= excused_until &&
                         call.ended - stop->at >= last_sixth && passed_on;
    ++report.counts[passed_on ? "cut_passed_on" : "cut_unread"];
    report.counts["cut_excused"] += excused ? 1 : 0;
    report.check(!passed_on || excused, "LOST",
                 "passed on and cut: " + describe(call, side, stop));
    report.check(passed_on || call.ended - call.sent <= loss_slack, "LOST",
                 "read and cut late: " + describe(call, side, stop));
}

} // namespace

play_report play_planned_stops(const play_plan& plan)
{
    play_report report;
    platform_plan started{plan.program, plan.folder};
    started.vms = plan.vms;
    standin_platform platform(started, react);
    report.check(platform.start_ready(), "READY", "VMs are not ready in time");
    std::mt19937 random(plan.seed);
    std::vector<std::unique_ptr<caller>> callers;
    for (unsigned i = 0; i < plan.vms * callers_of_vm; ++i) {
        caller_habits habits;
        habits.targets = {"/lot/a", "/lot/b", "/order/c"};
        // Some callers open a connection for each request, some for many, and
        // some come back to their VM until its process is gone.
        habits.per_connection = i % 3 == 0 ? 1 : 1000;
        habits.moves = i % 2 == 0;
        habits.pipelined = i % 8 == 7 ? 2 : 1;
        callers.push_back(std::make_unique<caller>(
            i, i % plan.vms, platform.targets(), habits, random()));
    }
    std::vector<stop_record> stops;
    const auto until = steady_clock::now() + plan.length;
    while (steady_clock::now() < until) {
        std::this_thread::sleep_for(milliseconds(200 + random() % 1500));
        const unsigned first = random() % plan.vms;
        const bool overlapping = plan.vms > 2 && random() % 3 == 0;
        const bool twice = random() % 3 == 0;
        std::thread other;
        stop_record second;
        if (overlapping) {
            const unsigned vm = (first + 1) % plan.vms;
            other = std::thread([&platform, &second, vm] {
                std::this_thread::sleep_for(milliseconds(700));
                second = stop_vm(platform, vm, false);
            });
        }
        stops.push_back(stop_vm(platform, first, twice));
        if (random() % 4 == 0) {
            // In the first second of its life.
            std::this_thread::sleep_for(milliseconds(random() % 1000));
            stops.push_back(stop_vm(platform, first, false));
        }
        if (overlapping) {
            other.join();
            stops.push_back(second);
        }
        report.check(platform.wait_ready(plan.vms, ready_time), "READY",
                     "a VM is not ready after its restart");
    }
    std::vector<call_result> results;
    for (const auto& each : callers) {
        const auto some = each->finish();
        results.insert(results.end(), some.begin(), some.end());
    }
    report.counts["stops"] = stops.size();
    for (const stop_record& stop : stops) {
        // A process that is not set up yet ends by the signal itself.
        const bool ended_by_signal = !stop.listening && stop.status == -SIGTERM;
        report.counts["stops_before_listening"] += stop.listening ? 0 : 1;
        report.check(stop.status == 0 || ended_by_signal, "LOST",
                     "vm-" + std::to_string(stop.vm) + " ended with status " +
                         std::to_string(stop.status));
    }
    for (const call_result& call : results) {
        if (call.end == call_end::refused) {
            ++report.counts["connections_refused"];
        } else {
            judge(call, platform.record(), stops, report);
        }
    }
    return report;
}

} // namespace cranberrywood::tests
