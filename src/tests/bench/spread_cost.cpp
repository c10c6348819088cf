// Prints what the spread of a settings revision costs: bytes of a delta, time
// to read and compare a large value, and time until every VM has a change.

#include "core/random_source.hpp"
#include "settings/settings_reader.hpp"
#include "systems/settings/revision_delta.hpp"
#include "systems/settings/revision_text.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <queue>
#include <set>

using namespace cranberrywood;

namespace {

constexpr int changes_a_day = 750;
constexpr double seconds_a_day = 86'400;
constexpr std::uint32_t data_centres = 9;
constexpr std::uint32_t readers = 18;

std::string numbered(const char* prefix, std::uint32_t number)
{
    return prefix + std::to_string(number);
}

std::string vm_section(std::uint32_t i)
{
    return "[vm " + numbered("entry-", i) +
           "]\ndata_centre = " + numbered("dc-", i % data_centres) +
           "\nhost = 10.0." + std::to_string(i / 200) + '.' +
           std::to_string(i % 200) + "\npeer_port = 2100\nhttp_port = 2200\n";
}

std::string server_section(std::uint32_t i)
{
    return "[backend_server " + numbered("server-", i) + "]\nshard = search/" +
           numbered("p", i / 3) +
           "\ndata_centre = " + numbered("dc-", i % data_centres) +
           "\nhost = 10.1." + std::to_string(i / 200) + '.' +
           std::to_string(i % 200) + "\nport = 2300\n";
}

std::string rule_section(std::uint32_t i)
{
    return "[rule " + numbered("act-", i) + "]\n; " + std::string(100, 'x') +
           "\neffect = keep_within\nenabled = false\nworkspaces = " +
           numbered("w", i % 40) + "\ndata_centres = dc-0 dc-1 dc-2\n";
}

/** A fleet with one section per VM, shard and backend server. */
published_value large_value(std::uint32_t vms, std::uint32_t servers,
                            std::uint32_t rules)
{
    std::string base = "[fleet]\nkey_salt = salt\n";
    for (std::uint32_t i = 0; i < data_centres; ++i) {
        base += "[data_centre " + numbered("dc-", i) +
                "]\nsite = " + numbered("site-", i) + '\n';
    }
    for (std::uint32_t i = 0; i < vms; ++i) {
        base += vm_section(i);
    }
    base += "[service search]\nslots = 2\nconnections = 25\n"
            "connection_cost = 6ms\nindex_version = 1\n"
            "shard_map_version = 1\n";
    for (std::uint32_t i = 0; i < servers / 3; ++i) {
        base += "[shard search/" + numbered("p", i) +
                "]\nkeys = " + std::to_string(i * 1000) + '-' +
                std::to_string(i * 1000 + 999) + '\n';
    }
    for (std::uint32_t i = 0; i < servers; ++i) {
        base += server_section(i);
    }
    for (std::uint32_t i = 0; i < 40; ++i) {
        base +=
            "[workspace " + numbered("w", i) + "]\nrate = 100/s\nburst = 50\n";
    }
    for (std::uint32_t i = 0; i < rules; ++i) {
        base += rule_section(i);
    }
    published_value value{revision_number(1), base, {}};
    for (std::uint32_t i = 0; i < data_centres; ++i) {
        value.overlays.push_back(
            {numbered("site-", i), "[rule act-7]\nenabled = true\n"});
    }
    return value;
}

double processor_ms()
{
    return 1000.0 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void print_delta(const char* name, const std::string& before,
                 const published_value& changed)
{
    const std::string after = revision_text(changed);
    const double begun = processor_ms();
    const std::string delta = make_delta(before, after);
    const double made = processor_ms() - begun;
    const bool whole = apply_delta(before, delta, after.size()) == after;
    std::printf("  %-34s %8zu bytes  %5.1f ms  %s\n", name, delta.size(), made,
                whole ? "restored" : "NOT RESTORED");
    std::printf("  %-34s %8.1f bytes/s at %d a day\n", "",
                static_cast<double>(delta.size()) * changes_a_day /
                    seconds_a_day,
                changes_a_day);
}

void print_value(std::uint32_t vms, std::uint32_t servers, std::uint32_t rules)
{
    const published_value value = large_value(vms, servers, rules);
    const std::string text = revision_text(value);
    const double begun = processor_ms();
    const auto result = read_settings(value);
    const double read = processor_ms() - begun;
    const bool accepted = std::holds_alternative<accepted_settings>(result);
    std::printf("%u VMs, %u backend servers, %u rules: %zu bytes, read and "
                "checked in %.1f ms, %s\n",
                vms, servers, rules, text.size(), read,
                accepted ? "accepted" : "REFUSED");
    std::printf("  %-34s %8zu bytes\n", "whole value", text.size());
    std::printf("  %-34s %8.1f bytes/s at %d a day\n", "",
                static_cast<double>(text.size()) * changes_a_day /
                    seconds_a_day,
                changes_a_day);
    published_value changed = value;
    const std::size_t at = changed.base.find("[rule act-3]");
    changed.base.replace(changed.base.find("false", at), 5, "true");
    print_delta("one rule switched on", text, changed);
    changed = value;
    changed.base.insert(changed.base.find("[rule act-3]"), rule_section(99999));
    print_delta("one rule added", text, changed);
    changed = value;
    changed.overlays[4].text += "[rule act-9]\nenabled = true\n";
    print_delta("one overlay's rule changed", text, changed);
}

/** How VMs tell each other of a change. */
struct spread_plan
{
    const char* name;
    std::uint32_t eager_fanout;
    bool mends_both_ways;
};

/** Spread of one change over VMs that heartbeat to eight others. */
class spread_run
{
public:
    spread_run(std::uint32_t vms, const spread_plan& plan, double loss,
               std::uint64_t seed)
        : m_vms(vms), m_plan(plan), m_loss(loss), m_random(seed),
          m_have(vms, -1.0), m_phase(vms)
    {
        for (std::uint32_t i = 0; i < vms; ++i) {
            m_phase[i] = fraction();
            std::set<std::uint32_t> targets;
            while (targets.size() < std::min(8U, vms - 1)) {
                const auto to = pick();
                if (to != i) {
                    targets.insert(to);
                }
            }
            m_targets.emplace_back(targets.begin(), targets.end());
        }
    }

    /** Returns the seconds until the last VM has the change. */
    double run()
    {
        for (std::uint32_t i = 0; i < std::min(readers, m_vms); ++i) {
            m_due.push({hop(), pick()});
        }
        std::uint32_t left = m_vms;
        for (double beat = 0; left != 0 && beat < 120; beat += 1) {
            left -= deliver_until(beat);
            heartbeat(beat);
        }
        return *std::max_element(m_have.begin(), m_have.end());
    }

    /** Returns the number of VMs that the change did not reach. */
    long missing() const
    {
        return std::count(m_have.begin(), m_have.end(), -1.0);
    }

private:
    using arrival = std::pair<double, std::uint32_t>;

    double fraction()
    {
        return static_cast<double>(m_random.below(1U << 20U)) / (1U << 20U);
    }
    std::uint32_t pick()
    {
        return static_cast<std::uint32_t>(m_random.below(m_vms));
    }
    /** One way between regions, and a wait for the tick. */
    double hop()
    {
        return 0.005 + 0.035 * fraction();
    }
    void send(double at, std::uint32_t to, int hops)
    {
        if (fraction() >= m_loss) {
            for (int i = 0; i < hops; ++i) {
                at += hop();
            }
            m_due.push({at, to});
        }
    }

    std::uint32_t deliver_until(double end)
    {
        std::uint32_t reached = 0;
        while (!m_due.empty() && m_due.top().first <= end) {
            const auto [at, vm] = m_due.top();
            m_due.pop();
            if (m_have[vm] >= 0) {
                continue;
            }
            m_have[vm] = at;
            ++reached;
            for (std::uint32_t i = 0; i < m_plan.eager_fanout; ++i) {
                send(at, pick(), 1);
            }
        }
        return reached;
    }

    // An advert by heartbeat costs two more hops: the pull and its answer.
    void heartbeat(double beat)
    {
        for (std::uint32_t from = 0; from < m_vms; ++from) {
            const double at = beat + m_phase[from];
            for (const auto to : m_targets[from]) {
                const bool from_has = m_have[from] >= 0 && m_have[from] <= at;
                const bool to_has = m_have[to] >= 0 && m_have[to] <= at;
                if (from_has && !to_has) {
                    send(at, to, 3);
                } else if (m_plan.mends_both_ways && to_has && !from_has) {
                    send(at, from, 4);
                }
            }
        }
    }

    std::uint32_t m_vms;
    spread_plan m_plan;
    double m_loss;
    seeded_random m_random;
    std::vector<double> m_have;
    std::vector<double> m_phase;
    std::vector<std::vector<std::uint32_t>> m_targets;
    std::priority_queue<arrival, std::vector<arrival>, std::greater<>> m_due;
};

void print_spread(std::uint32_t vms, const spread_plan& plan, double loss)
{
    constexpr int runs = 50;
    double sum = 0;
    double worst = 0;
    int unreached = 0;
    for (int i = 0; i < runs; ++i) {
        spread_run run(vms, plan, loss, 1000 + i);
        const double last = run.run();
        sum += last;
        worst = std::max(worst, last);
        unreached += run.missing() != 0 ? 1 : 0;
    }
    std::printf("  %4u VMs  %-34s loss %3.0f%%  last VM after %5.2f s mean, "
                "%5.2f s worst, %d of %d runs incomplete\n",
                vms, plan.name, 100 * loss, sum / runs, worst, unreached, runs);
}

} // namespace

int main()
{
    std::puts("Values and deltas");
    print_value(8, 105, 50);
    print_value(80, 1050, 200);
    print_value(840, 4200, 1000);
    std::puts("Spread of one change from 18 readers, 50 runs each");
    const spread_plan plans[] = {{"heartbeats one way", 0, false},
                                 {"heartbeats, mended both ways", 0, true},
                                 {"push to 6 at once, heartbeats", 6, true}};
    for (const std::uint32_t vms : {8U, 80U, 840U}) {
        for (const auto& plan : plans) {
            for (const double loss : {0.0, 0.2}) {
                print_spread(vms, plan, loss);
            }
        }
    }
    return 0;
}
