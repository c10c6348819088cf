#include "randomised/random_run.hpp"

#include "settings/settings_reader.hpp"

#include <algorithm>
#include <deque>

namespace cranberrywood::randomised {

namespace {

using namespace std::chrono_literals;

constexpr duration warm_up = 8s;
constexpr duration cool_down = 20s;
constexpr duration step_time = 20ms;
/** Time after which a published change must be in force everywhere. */
constexpr duration in_force_after = 18s;
/** Time for which the service must be readable after a publication. */
constexpr duration readable_for = 3s;
constexpr std::uint64_t faults_per_thousand_steps = 30;
constexpr std::size_t poison_limit = 2;
/**
 * Time in which a lookup is sent again. With the longest pause of an entry VM
 * it is within the resend window, for which the promise holds.
 */
constexpr duration resent_within = 5s;

std::string body_of(const std::string& workspace, std::uint64_t number)
{
    return workspace + "#" + std::to_string(number);
}

std::string describe(const error_detail& error)
{
    return std::string(name_of(error.why)) + " at " + name_of(error.at);
}

/** Says what a caller got. */
std::string describe(const std::optional<response>& got)
{
    if (!got) {
        return "no answer";
    }
    if (const auto* refused = std::get_if<not_run>(&*got)) {
        return "not_run: " + describe(refused->error());
    }
    if (const auto* unknown = std::get_if<outcome_unknown>(&*got)) {
        return "outcome_unknown: " + describe(unknown->error);
    }
    if (const auto* failure = std::get_if<failed>(&*got)) {
        return "failed: " + describe(failure->error);
    }
    const coverage& covers = std::get<answered>(*got).covers;
    return "answered with " + std::to_string(covers.covered_keys) + " of " +
           std::to_string(covers.total_keys) + " keys";
}

/** One randomised run: requests, faults, then recovery and checks. */
class run
{
public:
    explicit run(std::uint64_t seed)
        : m_random(seed), m_fleet(m_facts.shape = shape(), seed ^ 0x9e3779b9)
    {
        for (const auto& id : m_fleet.server_ids()) {
            m_servers.push_back(id);
        }
        note_places();
    }

    run_report execute(std::uint64_t steps)
    {
        m_fleet.run_for(warm_up);
        while (m_fleet.steps() < steps) {
            send_requests();
            if (m_random.below(1000) < faults_per_thousand_steps) {
                inject_fault();
            }
            m_fleet.run_for(step_time);
        }
        recover();
        check_service();
        return report();
    }

private:
    /** A lookup that may be sent again. */
    struct sent_lookup
    {
        std::string workspace;
        std::string id;
        time_point first_sent;
    };

    static fakes::sample_shape shape()
    {
        fakes::sample_shape s;
        s.data_centres = 2;
        s.vms = 5;
        s.shards = 3;
        s.replicas = 2;
        s.workspaces = 3;
        s.rate_milli = 20'000;
        s.burst_milli = 10'000;
        return s;
    }

    void note_places()
    {
        const auto value =
            fakes::sample_value(revision_number(1), m_facts.shape);
        const auto read = read_settings(value);
        const auto settings =
            std::get<accepted_settings>(read).of_site("site-0");
        for (const auto& s : settings->all().backend_servers) {
            m_facts.place_of[s.id] = s.data_centre;
        }
    }

    std::size_t any_vm()
    {
        return m_random.below(m_fleet.vm_count());
    }

    // The first workspace asks for more than its rate.
    std::string any_workspace()
    {
        if (m_random.below(2) == 0) {
            return "w0";
        }
        return "w" + std::to_string(m_random.below(m_facts.shape.workspaces));
    }

    void send_requests()
    {
        const std::uint64_t count = m_random.below(3);
        for (std::uint64_t i = 0; i < count; ++i) {
            const std::string workspace = any_workspace();
            if (m_random.below(4) == 0) {
                send_lookup(workspace);
                continue;
            }
            const auto token = m_fleet.query(
                any_vm(), workspace, body_of(workspace, m_next_body++), 320ms);
            if (m_random.below(50) == 0) {
                m_fleet.hang_up(token);
            }
        }
    }

    // Half of the lookups are resends of a recent one through any VM.
    void send_lookup(const std::string& workspace)
    {
        while (!m_lookups.empty() &&
               m_fleet.now() - m_lookups.front().first_sent > resent_within) {
            m_lookups.pop_front();
        }
        sent_lookup next{workspace, "id-" + std::to_string(m_next_body++),
                         m_fleet.now()};
        if (!m_lookups.empty() && m_random.below(2) == 0) {
            next = m_lookups[m_random.below(m_lookups.size())];
        } else {
            m_lookups.push_back(next);
        }
        const std::string body = next.workspace + "#" + next.id;
        m_fleet.lookup(any_vm(), next.workspace, next.id, body, 320ms);
    }

    void inject_fault()
    {
        static const std::vector<void (run::*)()> faults = {
            &run::crash_vm,        &run::start_vms,     &run::start_vms,
            &run::pause_vm,        &run::cut_one_way,   &run::isolate_vm,
            &run::heal_links,      &run::heal_links,    &run::worsen_links,
            &run::mend_links,      &run::platform_down, &run::platform_up,
            &run::publish_change,  &run::kill_server,   &run::restart_servers,
            &run::leave_vm,        &run::send_poison,   &run::refresh_list,
            &run::all_servers_cold};
        (this->*faults[m_random.below(faults.size())])();
    }

    void crash_vm()
    {
        m_fleet.crash(any_vm());
    }
    void start_vms()
    {
        for (std::size_t vm = 0; vm < m_fleet.vm_count(); ++vm) {
            m_fleet.start(vm);
        }
    }
    void pause_vm()
    {
        m_fleet.pause(any_vm(), 100ms * (1 + m_random.below(80)));
    }
    void cut_one_way()
    {
        m_fleet.cut(any_vm(), any_vm());
    }
    void isolate_vm()
    {
        const std::size_t vm = any_vm();
        for (std::size_t other = 0; other < m_fleet.vm_count(); ++other) {
            m_fleet.cut(vm, other);
            m_fleet.cut(other, vm);
        }
    }
    void heal_links()
    {
        m_fleet.heal();
    }
    void worsen_links()
    {
        fakes::link_faults faults;
        faults.longest_delay = 10ms * (1 + m_random.below(20));
        faults.loss_per_mille = static_cast<std::uint32_t>(m_random.below(200));
        faults.duplicate_per_mille =
            static_cast<std::uint32_t>(m_random.below(200));
        m_fleet.set_faults(faults);
    }
    void mend_links()
    {
        m_fleet.set_faults({});
    }
    // A revision counts as published once the service could be read for a
    // while; nobody may have seen it before.
    void platform_down()
    {
        m_fleet.set_platform_up(false);
        m_platform_up = false;
        if (m_span && m_fleet.now() - m_published_at < readable_for) {
            m_span.reset();
        }
    }
    void platform_up()
    {
        m_fleet.set_platform_up(true);
        m_platform_up = true;
    }
    void kill_server()
    {
        m_fleet.kill_server(m_servers[m_random.below(m_servers.size())]);
    }
    void restart_servers()
    {
        for (const auto id : m_servers) {
            if (!m_fleet.server(id).up()) {
                m_fleet.restart_server(id);
            }
        }
    }
    void all_servers_cold()
    {
        for (const auto id : m_servers) {
            m_fleet.restart_server(id);
        }
    }
    void leave_vm()
    {
        const std::size_t vm = any_vm();
        if (m_fleet.is_up(vm)) {
            m_fleet.leave(vm);
        }
    }
    void refresh_list()
    {
        m_fleet.refresh_vm_list();
    }
    void send_poison()
    {
        const std::string body =
            "w0#poison-" + std::to_string(m_random.below(poison_limit));
        m_fleet.query(any_vm(), "w0", body + "crash!", 320ms);
    }

    // Index versions only grow; servers hold the last two.
    void publish_change()
    {
        if (!m_platform_up) {
            return;
        }
        end_spans();
        m_published_at = m_fleet.now();
        fakes::sample_edits edits;
        m_revision = revision_number(m_revision.value() + 1);
        edits.index = ++m_index;
        for (const auto id : m_servers) {
            m_fleet.server(id).hold_versions(index_version(m_index - 1),
                                             index_version(m_index));
        }
        switch (m_random.below(3)) {
        case 0:
            edits.withdrawn =
                static_cast<int>(m_random.below(m_facts.shape.workspaces));
            break;
        case 1:
            edits.data_centre_out =
                static_cast<int>(m_random.below(m_facts.shape.data_centres));
            break;
        default:
            break;
        }
        m_fleet.publish(fakes::sample_value(m_revision, m_facts.shape, edits));
        begin_span(edits);
    }

    void begin_span(const fakes::sample_edits& edits)
    {
        forbidden_span span;
        span.from = m_fleet.now() + in_force_after;
        if (edits.withdrawn >= 0) {
            span.workspace = "w" + std::to_string(edits.withdrawn);
        } else if (edits.data_centre_out >= 0) {
            span.data_centre = id_of<data_centre_id>(
                "dc-" + std::to_string(edits.data_centre_out));
        } else {
            return;
        }
        m_span = span;
    }

    void end_spans()
    {
        if (m_span) {
            m_span->to = m_fleet.now();
            m_facts.forbidden.push_back(*m_span);
            m_span.reset();
        }
    }

    void recover()
    {
        m_fleet.heal();
        m_fleet.set_faults({});
        platform_up();
        restart_servers();
        start_vms();
        end_spans();
        m_revision = revision_number(m_revision.value() + 1);
        fakes::sample_edits edits;
        edits.index = m_index;
        m_fleet.publish(fakes::sample_value(m_revision, m_facts.shape, edits));
        m_fleet.run_for(cool_down);
        // VMs that left during the recovery come back as well, and so do
        // servers that crashed under a request from before it.
        start_vms();
        restart_servers();
        m_fleet.run_for(cool_down);
    }

    void check_service()
    {
        for (std::size_t vm = 0; vm < m_fleet.vm_count(); ++vm) {
            const node_status status = m_fleet.status(vm);
            if (!status.ready || status.revision != m_revision) {
                m_broken.push_back("recovery: vm-" + std::to_string(vm) +
                                   " is not ready at the last revision");
            }
            const auto token =
                m_fleet.query(vm, "w1", body_of("w1", m_next_body++), 320ms);
            m_fleet.run_for(1s);
            const auto& answer = m_fleet.callers()[token.value() - 1].answer;
            const auto* a = answer ? std::get_if<answered>(&*answer) : nullptr;
            if (a == nullptr || !a->covers.whole()) {
                m_broken.push_back(
                    "recovery: vm-" + std::to_string(vm) +
                    " gives no whole answer: " + describe(answer));
            }
        }
    }

    void check_servers()
    {
        for (const auto id : m_servers) {
            if (m_fleet.server(id).fall_overs() != 0) {
                m_broken.push_back(
                    "cold start: server " + std::to_string(id.value()) +
                    " fell over " +
                    std::to_string(m_fleet.server(id).fall_overs()) + " times");
            }
        }
        std::uint32_t crashes = 0;
        for (const auto id : m_servers) {
            crashes += m_fleet.server(id).crashes();
        }
        // Callers send each again and again; it may take two servers of each
        // shard.
        if (crashes > 2 * poison_limit * m_facts.shape.shards) {
            m_broken.push_back("quarantine: " + std::to_string(crashes) +
                               " servers died of " +
                               std::to_string(poison_limit) + " requests");
        }
    }

    run_report report()
    {
        check_servers();
        run_report r;
        r.steps = m_fleet.steps();
        r.requests = m_fleet.callers().size();
        r.executions = m_fleet.executions().size();
        r.broken = check_trace(m_fleet, m_facts);
        r.broken.insert(r.broken.end(), m_broken.begin(), m_broken.end());
        r.log = m_fleet.log();
        for (const auto& caller : m_fleet.callers()) {
            if (!caller.answer) {
                ++r.unanswered;
            } else if (const auto* a = std::get_if<answered>(&*caller.answer)) {
                ++(a->covers.whole() ? r.answered_whole : r.answered_partly);
            } else {
                ++r.refused;
            }
        }
        return r;
    }

    seeded_random m_random;
    run_facts m_facts;
    fakes::fake_fleet m_fleet;
    std::vector<backend_server_id> m_servers;
    std::uint64_t m_next_body = 1;
    std::deque<sent_lookup> m_lookups;
    revision_number m_revision{1};
    std::uint64_t m_index = 1;
    bool m_platform_up = true;
    time_point m_published_at;
    std::optional<forbidden_span> m_span;
    std::vector<std::string> m_broken;
};

} // namespace

run_report random_run(std::uint64_t seed, std::uint64_t steps)
{
    return run(seed).execute(steps);
}

} // namespace cranberrywood::randomised
