#include "bench/model_fleet.hpp"
#include "fakes/sample_settings.hpp"

#include <cstdio>

/** Prints the tables of docs/MEASUREMENTS.md on policy under load. */
namespace {

using namespace cranberrywood;
using namespace cranberrywood::bench;
using namespace std::chrono_literals;

constexpr duration warm_up = 10s;
constexpr duration measured = 8s;

/** One of the users' shapes. */
struct shape
{
    const char* name;
    std::uint32_t data_centres;
    std::uint32_t vms;
    distances delays;
};

const shape lone_oak{"Lone Oak", 4, 8, {100us, 1500us}};
const shape jhuwei{"Jhuwei", 3, 7, {100us, 1000us}};

constexpr std::uint32_t shards = 25;
constexpr std::uint32_t replicas = 3;
constexpr std::uint32_t workspaces = 8;

const policy all_on{};
const policy no_hedge{false, true, true, true};
const policy fixed_window{true, false, true, true};
const policy first_come{true, true, false, true};
const policy random_replica{true, true, true, false};
const policy all_off{false, false, false, false};

struct named_policy
{
    const char* name;
    policy p;
};

const std::vector<named_policy> policies{{"policy", all_on},
                                         {"no hedge", no_hedge},
                                         {"fixed window", fixed_window},
                                         {"first come", first_come},
                                         {"random replica", random_replica},
                                         {"all baselines", all_off}};

const std::vector<named_policy> two_policies{{"policy", all_on},
                                             {"all baselines", all_off}};

settings settings_of(const shape& s)
{
    fakes::sample_shape sample;
    sample.data_centres = s.data_centres;
    sample.vms = s.vms;
    sample.shards = shards;
    sample.replicas = replicas;
    sample.workspaces = workspaces;
    settings built = fakes::sample_settings(sample);
    built.services.front().connection_cost = 6ms;
    // Shards do not all have their replicas in the same data centres.
    std::size_t number = 0;
    for (auto& server : built.backend_servers) {
        const std::size_t shard = number / replicas;
        const std::size_t replica = number % replicas;
        server.data_centre =
            built.data_centres[(shard + replica) % s.data_centres].id;
        ++number;
    }
    return built;
}

/** Queries a second that keep every slot busy. */
double capacity(const settings& s, const server_behaviour& b)
{
    const double work = static_cast<double>(b.mean_work.count()) / 1e9;
    return replicas * s.services.front().slots / work;
}

struct scenario
{
    const char* name;
    double load = 0.5;
    server_behaviour behaviour;
    std::function<void(model_fleet&, const settings&)> fault;
    /** Load of the first workspace relative to each other one. */
    double first_share = 1.0;
    bool warm = true;
    duration lead_in = warm_up;
};

struct figures
{
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    double coverage = 0;
    double goodput = 0;
    double extra = 0;
    double worst_p99 = 0;
    double worst_goodput = 0;
    std::uint32_t fall_overs = 0;
};

double quantile(std::vector<duration>& latencies, double q)
{
    if (latencies.empty()) {
        return 0;
    }
    std::sort(latencies.begin(), latencies.end());
    const auto last = static_cast<double>(latencies.size() - 1);
    const duration d = latencies[static_cast<std::size_t>(q * last)];
    return static_cast<double>(d.count()) / 1e6;
}

figures figures_of(const model_fleet& fleet, time_point from,
                   const std::vector<workspace_id>& within_share)
{
    figures f;
    std::vector<duration> all;
    std::map<workspace_id, std::vector<duration>> by_workspace;
    std::map<workspace_id, double> whole;
    double covered = 0;
    double total = 0;
    double total_whole = 0;
    for (const auto& q : fleet.queries()) {
        if (q.started < from) {
            continue;
        }
        all.push_back(q.latency);
        by_workspace[q.workspace].push_back(q.latency);
        whole[q.workspace] += q.covered == q.shards ? 1 : 0;
        total_whole += q.covered == q.shards ? 1 : 0;
        covered += q.covered;
        total += q.shards;
    }
    f.p50 = quantile(all, 0.5);
    f.p99 = quantile(all, 0.99);
    f.p999 = quantile(all, 0.999);
    f.coverage = total == 0 ? 0 : 100 * covered / total;
    f.goodput =
        all.empty() ? 0 : 100 * total_whole / static_cast<double>(all.size());
    f.worst_goodput = 100;
    for (const auto workspace : within_share) {
        auto& latencies = by_workspace[workspace];
        f.worst_p99 = std::max(f.worst_p99, quantile(latencies, 0.99));
        f.worst_goodput = std::min(f.worst_goodput,
                                   100 * whole[workspace] /
                                       static_cast<double>(latencies.size()));
    }
    f.extra = 100.0 * static_cast<double>(fleet.extra_sends()) /
              static_cast<double>(fleet.first_sends());
    f.fall_overs = fleet.fall_overs();
    return f;
}

figures run(const shape& where, const scenario& what, const policy& p)
{
    const settings s = settings_of(where);
    model_fleet fleet(s, p, what.behaviour, where.delays);
    fleet.begin(what.warm);
    const time_point from = fleet.time().now() + what.lead_in;
    const time_point until = from + measured;
    const double total = what.load * capacity(s, what.behaviour);
    const double shares = what.first_share + workspaces - 1;
    std::vector<workspace_id> within_share;
    for (std::size_t i = 0; i < s.workspaces.size(); ++i) {
        const double share = i == 0 ? what.first_share : 1.0;
        if (share <= 1.0) {
            within_share.push_back(s.workspaces[i].id);
        }
        fleet.load(s.workspaces[i].id, total * share / shares, until);
    }
    fleet.time().run_until(from);
    if (what.fault) {
        what.fault(fleet, s);
    }
    fleet.time().run_until(until + 1s);
    return figures_of(fleet, from, within_share);
}

void print(const char* scenario_name, const char* policy_name, const figures& f)
{
    std::printf("| %s | %s | %.1f | %.1f | %.1f | %.3f | %.2f | %.2f | %.1f | "
                "%.2f | %u |\n",
                scenario_name, policy_name, f.p50, f.p99, f.p999, f.coverage,
                f.goodput, f.extra, f.worst_p99, f.worst_goodput, f.fall_overs);
    std::fflush(stdout);
}

void print_header(const shape& s)
{
    std::printf("\n%s: %u shards of %u, %u data centres, %u VMs\n\n", s.name,
                shards, replicas, s.data_centres, s.vms);
    std::printf("| run | policies | p50 ms | p99 ms | p99.9 ms | coverage %% "
                "| whole %% | extra %% | worst p99 ms | worst whole %% | "
                "fall-overs |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|---|---|\n");
}

void slow_one(model_fleet& fleet, const settings& s)
{
    fleet.servers().at(s.backend_servers.front().id).slow_factor = 10;
}

void slow_centre(model_fleet& fleet, const settings& s)
{
    for (const auto& server : s.backend_servers) {
        if (server.data_centre == s.data_centres.front().id) {
            fleet.servers().at(server.id).slow_factor = 4;
        }
    }
}

void lose_one(model_fleet& fleet, const settings& s)
{
    fleet.crash(s.backend_servers.front().id, 3s);
}

void lose_all(model_fleet& fleet, const settings& s)
{
    for (const auto& server : s.backend_servers) {
        fleet.crash(server.id, 500ms);
    }
}

void take_centre_out_and_back(model_fleet& fleet, const settings& s)
{
    settings out = s;
    out.data_centres.front().in_service = false;
    out.revision = revision_number(2);
    settings back = s;
    back.revision = revision_number(3);
    fleet.change_settings(out);
    for (const auto& server : s.backend_servers) {
        if (server.data_centre == s.data_centres.front().id) {
            fleet.time().after(
                1s, [&fleet, id = server.id] { fleet.crash(id, 500ms); });
        }
    }
    fleet.time().after(4s, [&fleet, back] { fleet.change_settings(back); });
}

std::vector<scenario> scenarios()
{
    server_behaviour stragglers;
    stragglers.straggler_permille = 10;
    std::vector<scenario> all;
    all.push_back({"load 0.3", 0.3, {}, {}});
    all.push_back({"load 0.7", 0.7, {}, {}});
    all.push_back({"load 1.1", 1.1, {}, {}});
    all.push_back({"one straggler in 75", 0.5, {}, slow_one});
    all.push_back({"1% stragglers, 0.3", 0.3, stragglers, {}});
    all.push_back({"1% stragglers, 0.7", 0.7, stragglers, {}});
    all.push_back({"slow data centre", 0.3, {}, slow_centre});
    all.push_back({"one server restarts", 0.5, {}, lose_one});
    all.push_back({"all servers restart", 0.3, {}, lose_all});
    all.push_back({"data centre out, back", 0.4, {}, take_centre_out_and_back});
    all.push_back({"one workspace at 10x", 0.9, {}, {}, 10.0});
    all.push_back({"one at 10x, load 1.3", 1.3, {}, {}, 10.0});
    return all;
}

} // namespace

int main()
{
    for (const auto& where : {lone_oak, jhuwei}) {
        print_header(where);
        const bool each_apart = where.vms == lone_oak.vms;
        for (const auto& what : scenarios()) {
            for (const auto& with : each_apart ? policies : two_policies) {
                print(what.name, with.name, run(where, what, with.p));
            }
        }
    }
    return 0;
}
