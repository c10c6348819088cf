#include "fakes/rate_fleet.hpp"
#include "fakes/rate_meter.hpp"
#include "fakes/sample_settings.hpp"
#include "fakes/static_shares.hpp"

#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <vector>

/**
 * Prints refusals within the rate and the worst excess over rate and burst,
 * for loans and for static shares of the rate, on a simulated clock.
 */
using namespace cranberrywood;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t vm_count = 8;
constexpr double rate = 100.0;
constexpr double burst = 50.0;
constexpr duration run_time = seconds(60);
constexpr duration max_wait = milliseconds(100);
constexpr duration fault_at = seconds(20);

/** One request of the offered load. */
struct arrival
{
    duration at{0};
    std::size_t vm = 0;
    std::size_t workspace = 0;
};

/** Calls add for the arrivals of one millisecond. */
using load = std::function<void(
    duration at, seeded_random& random,
    const std::function<void(std::size_t vm, std::size_t workspace)>& add)>;

/** Injects the faults of one millisecond. */
using faults = std::function<void(duration at, fakes::rate_fleet& fleet)>;

struct scenario
{
    std::string name;
    load offered;
    faults inject;
    /** Workspace whose figures are printed. */
    std::size_t shown = 0;
};

struct figures
{
    std::size_t within = 0;
    std::size_t admitted_within = 0;
    double worst_excess = 0.0;
    double p99_wait_ms = 0.0;
    double messages = 0.0;
};

/** Global token bucket that knows every request at once. */
class ideal_bucket
{
public:
    bool admits(duration at)
    {
        const std::chrono::duration<double> passed = at - m_last;
        m_tokens = std::min(burst, m_tokens + rate * passed.count());
        m_last = at;
        if (m_tokens < 1.0) {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

private:
    double m_tokens = burst;
    duration m_last{0};
};

load steady(double per_second, std::function<std::size_t(seeded_random&)> vm,
            std::size_t workspace = 0)
{
    return [=](duration, seeded_random& random, const auto& add) {
        const auto per_million =
            static_cast<std::uint64_t>(per_second * 1000.0);
        if (random.below(1000000) < per_million) {
            add(vm(random), workspace);
        }
    };
}

std::size_t any_vm(seeded_random& random)
{
    return random.below(vm_count);
}

load bursts()
{
    return [](duration at, seeded_random& random, const auto& add) {
        if (at % seconds(1) != milliseconds(500)) {
            return;
        }
        for (int i = 0; i < 45; ++i) {
            add(random.below(vm_count), 0);
        }
    };
}

load both(load a, load b)
{
    return [=](duration at, seeded_random& random, const auto& add) {
        a(at, random, add);
        b(at, random, add);
    };
}

void no_faults(duration, fakes::rate_fleet&) {}

void crash(duration at, fakes::rate_fleet& fleet)
{
    if (at == fault_at) {
        fleet.restart(0);
    }
    if (at == fault_at + seconds(4)) {
        fleet.make_home(1);
    }
}

void pause_home(duration at, fakes::rate_fleet& fleet)
{
    if (at == fault_at) {
        fleet.pause(0, fleet.now() + seconds(10));
    }
    if (at == fault_at + seconds(4)) {
        fleet.make_home(1);
    }
}

void short_pause(duration at, fakes::rate_fleet& fleet)
{
    if (at == fault_at) {
        fleet.pause(0, fleet.now() + seconds(1));
    }
}

void partition(duration at, fakes::rate_fleet& fleet)
{
    if (at == fault_at) {
        fleet.partition_below(3);
    }
    if (at == fault_at + seconds(4)) {
        fleet.make_home(5);
    }
    if (at == fault_at + seconds(10)) {
        fleet.partition_below(0);
    }
}

void graceful_move(duration at, fakes::rate_fleet& fleet)
{
    if (at == fault_at) {
        fleet.drain_home();
    }
    if (at > fault_at && fleet.home() == 0 && fleet.drained()) {
        fleet.make_home(1);
    }
}

std::vector<arrival> arrivals_of(const scenario& s)
{
    seeded_random random(20261204);
    std::vector<arrival> list;
    for (duration at{0}; at < run_time; at += milliseconds(1)) {
        s.offered(at, random, [&](std::size_t vm, std::size_t workspace) {
            list.push_back({at, vm, workspace});
        });
    }
    return list;
}

/** Gathers the figures of the shown workspace while a run goes on. */
class recorder
{
public:
    void arrived(caller_token caller, time_point now, bool within)
    {
        m_open[caller] = now;
        m_figures.within += within ? 1 : 0;
    }

    void decided(const rate_decision& decision, time_point now)
    {
        const auto found = m_open.find(decision.caller);
        if (found == m_open.end() || !decision.granted) {
            return;
        }
        m_admitted += 1;
        m_waits.push_back(now - found->second);
        m_meter.admitted(now);
    }

    figures finish()
    {
        m_figures.admitted_within = std::min(m_admitted, m_figures.within);
        m_figures.worst_excess = m_meter.worst_excess();
        std::sort(m_waits.begin(), m_waits.end());
        if (!m_waits.empty()) {
            const duration p99 = m_waits[m_waits.size() * 99 / 100];
            m_figures.p99_wait_ms =
                std::chrono::duration<double, std::milli>(p99).count();
        }
        return m_figures;
    }

private:
    std::map<caller_token, time_point> m_open;
    std::vector<duration> m_waits;
    std::size_t m_admitted = 0;
    fakes::rate_meter m_meter{rate, burst};
    figures m_figures;
};

fakes::sample_shape shape()
{
    fakes::sample_shape s;
    s.vms = vm_count;
    return s;
}

/** The home starts ten seconds before the load, unless the run says so. */
figures run_loans(const scenario& s, bool fresh_home)
{
    const auto settings = fakes::sample_index(shape());
    fakes::rate_fleet fleet(settings, 1);
    fleet.make_home(0);
    for (int i = 0; !fresh_home && i < 10000; ++i) {
        fleet.step();
    }
    const std::vector<arrival> list = arrivals_of(s);
    const std::uint64_t before = fleet.messages();
    ideal_bucket ideal;
    recorder record;
    std::size_t next = 0;
    for (duration at{0}; at < run_time + seconds(1); at += milliseconds(1)) {
        s.inject(at, fleet);
        for (; next < list.size() && list[next].at == at; ++next) {
            std::size_t vm = list[next].vm;
            while (fleet.paused(vm)) {
                vm = (vm + 1) % vm_count;
            }
            const auto caller = fleet.request(
                vm, settings->all().workspaces[list[next].workspace].id,
                max_wait);
            if (list[next].workspace == s.shown) {
                record.arrived(caller, fleet.now(), ideal.admits(at));
            }
        }
        for (const auto& d : fleet.take_decisions()) {
            record.decided(d.decision, d.at);
        }
        fleet.step();
    }
    figures result = record.finish();
    const double seconds_run = 61.0;
    result.messages =
        static_cast<double>(fleet.messages() - before) / seconds_run / vm_count;
    return result;
}

figures run_static(const scenario& s)
{
    const auto settings = fakes::sample_index(shape());
    std::vector<fakes::static_shares> vms(vm_count,
                                          fakes::static_shares(vm_count));
    for (auto& vm : vms) {
        vm.settings_changed(settings);
    }
    const std::vector<arrival> list = arrivals_of(s);
    ideal_bucket ideal;
    recorder record;
    std::size_t next = 0;
    std::uint64_t last_ticket = 0;
    for (duration at{0}; at < run_time + seconds(1); at += milliseconds(1)) {
        const time_point now = time_point(seconds(1000)) + at;
        for (; next < list.size() && list[next].at == at; ++next) {
            const caller_token caller(++last_ticket);
            if (list[next].workspace == s.shown) {
                record.arrived(caller, now, ideal.admits(at));
            }
            vms[list[next].vm].request(
                caller, settings->all().workspaces[list[next].workspace].id,
                max_wait, now);
        }
        for (auto& vm : vms) {
            vm.tick(now);
            for (const auto& decision : vm.take_decisions()) {
                record.decided(decision, now);
            }
        }
    }
    return record.finish();
}

double refused_percent(const figures& f)
{
    const double refused = static_cast<double>(f.within - f.admitted_within);
    return 100.0 * refused / static_cast<double>(f.within);
}

void print_row(const scenario& s, bool fresh_home)
{
    const figures loans = run_loans(s, fresh_home);
    const figures shares = run_static(s);
    std::printf("| %s | %zu | %.2f %% | %.1f | %.0f ms | %.1f | %.2f %% | "
                "%.1f |\n",
                s.name.c_str(), loans.within, refused_percent(loans),
                loans.worst_excess, loans.p99_wait_ms, loans.messages,
                refused_percent(shares), shares.worst_excess);
}

} // namespace

int main()
{
    const auto first_vm = [](seeded_random&) { return std::size_t(3); };
    const load even = steady(90.0, any_vm);
    std::printf("| load and fault | within the rate | loans: refused | "
                "excess | p99 wait | messages/s a VM | shares: refused | "
                "excess |\n|---|---|---|---|---|---|---|---|\n");
    print_row({"even over 8 VMs", even, no_faults}, false);
    print_row({"all through one VM", steady(90.0, first_vm), no_faults}, false);
    print_row({"workspace is new", even, no_faults}, true);
    print_row({"45 at once every second", bursts(), no_faults}, false);
    print_row({"home crashes", even, crash}, false);
    print_row({"home pauses 1 s", even, short_pause}, false);
    print_row({"home pauses 10 s", even, pause_home}, false);
    print_row({"3 of 8 VMs apart for 10 s", even, partition}, false);
    print_row({"home moves gracefully", even, graceful_move}, false);
    const load noisy = both(steady(1000.0, any_vm, 0), steady(90.0, any_vm, 1));
    print_row({"the one at ten times its rate", noisy, no_faults, 0}, false);
    print_row({"the one beside it", noisy, no_faults, 1}, false);
    const load skewed = both(steady(950.0, first_vm), steady(50.0, any_vm));
    print_row({"ten times, 95 % by one VM", skewed, no_faults}, false);
    return 0;
}
