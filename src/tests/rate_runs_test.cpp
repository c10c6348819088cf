#include "fakes/rate_fleet.hpp"
#include "fakes/rate_meter.hpp"
#include "fakes/sample_settings.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>

using namespace cranberrywood;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Randomised runs of homes and borrowers under faults; an independent meter
// checks every window of the admitted requests against rate and burst.
namespace {

constexpr double rate = 100.0;
constexpr double burst = 50.0;

class rate_run
{
public:
    explicit rate_run(std::uint64_t seed)
        : m_random(seed), m_settings(settings_of(seed)),
          m_fleet(m_settings, seed)
    {
        m_fleet.make_home(0);
        const std::uint64_t delays[] = {2, 20, 300};
        m_fleet.set_network(m_random.below(100),
                            milliseconds(delays[m_random.below(3)]));
        for (const auto& workspace : m_settings->all().workspaces) {
            m_meters.emplace(workspace.id, rate_meter(rate, burst));
        }
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            m_fleet.step();
            inject_faults();
            move_home();
            send_requests(i);
            for (const auto& d : m_fleet.take_decisions()) {
                if (d.decision.granted) {
                    ++admitted;
                    m_meters.at(m_workspace_of.at(d.decision.caller))
                        .admitted(d.at);
                }
            }
        }
    }

    double worst_excess() const
    {
        double worst = -burst;
        for (const auto& [workspace, meter] : m_meters) {
            worst = std::max(worst, meter.worst_excess());
        }
        return worst;
    }

    std::size_t admitted = 0;

private:
    static std::shared_ptr<const settings_index> settings_of(std::uint64_t seed)
    {
        fakes::sample_shape shape;
        shape.vms = 3 + seed % 4;
        return fakes::sample_index(shape);
    }

    using rate_meter = fakes::rate_meter;

    std::size_t any_vm()
    {
        return m_random.below(m_settings->all().vms.size());
    }

    void inject_faults()
    {
        const auto draw = m_random.below(20000);
        if (draw < 5) {
            m_fleet.restart(any_vm());
        } else if (draw < 12) {
            m_fleet.pause(any_vm(),
                          m_fleet.now() + milliseconds(m_random.below(5000)));
        } else if (draw < 16) {
            m_fleet.partition_below(any_vm());
        } else if (draw < 20) {
            m_fleet.partition_below(0);
        } else if (draw < 25 && m_fleet.has_lease() &&
                   !m_fleet.paused(m_fleet.home())) {
            m_fleet.drain_home();
            m_draining = true;
        }
    }

    void move_home()
    {
        const std::size_t next = any_vm();
        if (m_fleet.paused(next)) {
            return;
        }
        const bool released = m_draining && m_fleet.drained();
        if (!m_fleet.has_lease() || released) {
            m_draining = false;
            m_fleet.make_home(next);
        }
    }

    // The load changes every second, from zero up to twenty times the rate.
    void send_requests(int step)
    {
        if (step % 1000 == 0) {
            m_load = m_random.below(3) == 0 ? 2000 : m_random.below(200);
            m_hot_vm = any_vm();
        }
        for (const auto& workspace : m_settings->all().workspaces) {
            if (m_random.below(1000) >= m_load) {
                continue;
            }
            const std::size_t vm = m_random.below(2) == 0 ? m_hot_vm : any_vm();
            if (!m_fleet.paused(vm)) {
                const auto caller =
                    m_fleet.request(vm, workspace.id, milliseconds(100));
                m_workspace_of[caller] = workspace.id;
            }
        }
    }

    seeded_random m_random;
    std::shared_ptr<const settings_index> m_settings;
    fakes::rate_fleet m_fleet;
    std::map<workspace_id, rate_meter> m_meters;
    std::map<caller_token, workspace_id> m_workspace_of;
    bool m_draining = false;
    std::uint64_t m_load = 0;
    std::size_t m_hot_vm = 0;
};

} // namespace

TEST_GROUP(rate_runs){};

TEST(rate_runs, no_window_exceeds_rate_and_burst)
{
    std::size_t admitted = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        rate_run run(seed);
        run.run(20000);
        admitted += run.admitted;
        const std::string text = "seed " + std::to_string(seed);
        CHECK_TEXT(run.worst_excess() < 0.001, text.c_str());
    }
    CHECK(admitted > 10000);
}

TEST(rate_runs, meter_finds_a_request_above_rate_and_burst)
{
    fakes::rate_meter meter(100.0, 2.0);
    const time_point t0 = time_point(seconds(100));
    meter.admitted(t0);
    meter.admitted(t0);
    meter.admitted(t0 + milliseconds(10));
    CHECK(meter.worst_excess() < 0.001);
    meter.admitted(t0 + milliseconds(19));
    CHECK(meter.worst_excess() > 0.09);
}
