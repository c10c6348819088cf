#include "fakes/fake_fleet.hpp"
#include "fakes/sample_settings.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace cranberrywood::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t shards = 3;

sample_shape shape()
{
    sample_shape s;
    s.vms = 5;
    s.shards = shards;
    s.replicas = 3;
    return s;
}

/** A caller that sends a request again that crashes each server running it. */
class resending_caller
{
public:
    explicit resending_caller(std::uint64_t seed) : m_fleet(shape(), seed)
    {
        m_fleet.run_for(8s);
    }
    /** Queries that complete earn a budget of retries. */
    void earn_retries()
    {
        for (int i = 0; i < 200; ++i) {
            m_fleet.query(vm(), "w0", "w0#" + std::to_string(i), 320ms);
            m_fleet.run_for(20ms);
        }
    }
    void send()
    {
        m_fleet.query(vm(), "w0", "w0#fatal crash!", 320ms);
    }
    fake_fleet& fleet()
    {
        return m_fleet;
    }
    void restart_servers()
    {
        for (const auto id : m_fleet.server_ids()) {
            if (!m_fleet.server(id).up()) {
                m_fleet.restart_server(id);
            }
        }
    }
    /** Returns how many servers of all shards crashed. */
    std::uint32_t crashes()
    {
        std::uint32_t count = 0;
        for (const auto id : m_fleet.server_ids()) {
            count += m_fleet.server(id).crashes();
        }
        return count;
    }

private:
    std::size_t vm()
    {
        return m_next++ % m_fleet.vm_count();
    }

    fake_fleet m_fleet;
    std::size_t m_next = 0;
};

} // namespace

TEST_GROUP(crash_resend){};

TEST(crash_resend, a_request_sent_again_crashes_two_servers_of_a_shard_at_most)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        resending_caller caller(seed);
        link_faults delays;
        delays.longest_delay = 40ms;
        caller.fleet().set_faults(delays);
        for (int i = 0; i < 4; ++i) {
            caller.send();
            caller.fleet().run_for(2s);
            caller.restart_servers();
            caller.fleet().run_for(3s);
            caller.earn_retries();
        }
        CHECK(caller.crashes() >= shards);
        CHECK(caller.crashes() <= 2 * shards);
    }
}

// The VMs that saw the first crashes restart one after the other.
TEST(crash_resend, strikes_outlive_restarts_of_the_vms_that_saw_them)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        resending_caller caller(seed);
        fake_fleet& fleet = caller.fleet();
        caller.earn_retries();
        caller.send();
        fleet.run_for(2s);
        caller.restart_servers();
        for (std::size_t vm = 0; vm < fleet.vm_count(); ++vm) {
            fleet.crash(vm);
            fleet.run_for(1s);
            fleet.start(vm);
            fleet.run_for(20s);
        }
        caller.send();
        fleet.run_for(2s);
        caller.restart_servers();
        fleet.run_for(3s);
        caller.send();
        fleet.run_for(2s);
        CHECK(caller.crashes() <= 2 * shards);
    }
}
