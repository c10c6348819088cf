#ifndef CRANBERRYWOOD_TESTS_FAKES_LOOKUP_RUN_HPP
#define CRANBERRYWOOD_TESTS_FAKES_LOOKUP_RUN_HPP

#include "core/random_source.hpp"
#include "fakes/manual_replica_picker.hpp"
#include "fakes/manual_role_view.hpp"
#include "fakes/sample_settings.hpp"
#include "systems/lookups/id_records.hpp"
#include "systems/lookups/lookup_client.hpp"

#include <array>
#include <map>
#include <memory>
#include <string>

namespace cranberrywood::fakes {

constexpr std::size_t lookup_vms = 3;
constexpr duration lookup_step = std::chrono::milliseconds(20);
constexpr duration lookup_lease = std::chrono::seconds(3);
constexpr std::uint64_t owner_vm = 1000;

/** Faults that a run may meet, per thousand steps or messages. */
struct fault_rates
{
    std::uint32_t crash = 2;
    std::uint32_t pause = 3;
    std::uint32_t hand_over = 5;
    std::uint32_t lost = 30;
    std::uint32_t delayed = 50;
    std::uint32_t refused = 450;
    /** Deliberate fault: a new holder takes its records for complete. */
    bool skip_takeover_window = false;
};

/**
 * Randomised run of several entry VMs and id owners over a small queue that
 * delays, reorders and loses messages; the session layer below drops
 * duplicates and messages to an earlier process.
 * VMs crash, pause and hand over; callers resend through any VM. A checker
 * outside counts what the fake server owners run under each request id and
 * compares every not_run with it.
 */
class lookup_run
{
public:
    lookup_run(std::uint64_t seed, fault_rates rates)
        : m_random(seed), m_rates(rates), m_settings(fast_settings()),
          m_group(role_map(m_settings).id_group({}))
    {
        m_picker.add(1, vm_id(owner_vm));
        m_picker.add(2, vm_id(owner_vm));
        for (std::size_t i = 0; i < lookup_vms; ++i) {
            restart(i);
        }
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            m_now += lookup_step;
            inject_faults();
            pass_roles_on();
            send_callers();
            deliver();
            for (std::size_t vm = 0; vm < lookup_vms; ++vm) {
                tick(vm);
            }
        }
    }

    std::size_t executed = 0;
    std::size_t not_run_answers = 0;
    std::size_t done_answers = 0;
    std::vector<std::string> violations;

private:
    struct message
    {
        std::size_t from = 0;
        std::uint64_t to = 0;
        std::uint64_t to_process = 0;
        peer_message body;
        time_point due;
    };

    struct machine
    {
        std::unique_ptr<manual_role_view> roles;
        std::unique_ptr<id_records> records;
        std::unique_ptr<lookup_client> client;
        std::uint64_t process = 0;
        time_point paused_until;
        bool started = false;
        outbox out;
    };

    /** The one lease that stands for all groups of this run. */
    struct role
    {
        std::size_t holder = 0;
        time_point until;
        bool draining = false;
    };

    static std::shared_ptr<const settings_index> fast_settings()
    {
        settings s = sample_settings();
        s.fleet.resend_window = std::chrono::seconds(10);
        s.fleet.shared_groups = 1;
        return std::make_shared<const settings_index>(s);
    }

    bool chance(std::uint32_t per_thousand)
    {
        return m_random.below(1000) < per_thousand;
    }

    bool paused(std::size_t vm) const
    {
        return m_now < m_machines[vm].paused_until;
    }

    void restart(std::size_t vm)
    {
        machine& m = m_machines[vm];
        node_identity self;
        self.vm = vm_id(vm + 1);
        self.process = incarnation(++m_last_process);
        m.process = m_last_process;
        m.roles = std::make_unique<manual_role_view>(m_settings);
        m.records = std::make_unique<id_records>(self, *m.roles, m_picker);
        m.records->settings_changed(m_settings);
        m.client = std::make_unique<lookup_client>(self, *m.roles);
        m.out = {};
        m.started = false;
        if (m_role.holder == vm) {
            m_role.draining = false;
            m_lost_holder = true;
        }
    }

    void inject_faults()
    {
        const std::size_t vm = m_random.below(lookup_vms);
        if (chance(m_rates.crash)) {
            restart(vm);
            for (auto& m : m_machines) {
                m.client->peer_restarted(vm_id(vm + 1), m_now, m.out);
            }
        }
        if (chance(m_rates.pause) && !paused(vm)) {
            m_machines[vm].paused_until =
                m_now + std::chrono::seconds(1 + m_random.below(20));
        }
        if (chance(m_rates.hand_over) && !m_lost_holder &&
            !paused(m_role.holder) && m_now < m_role.until) {
            m_role.draining = true;
            m_machines[m_role.holder].records->drain(m_group);
        }
    }

    // A holder that runs renews its lease; a lapsed one passes to any VM.
    void pass_roles_on()
    {
        const bool renews = !m_lost_holder && !paused(m_role.holder);
        if (renews && m_now < m_role.until) {
            renew();
            finish_hand_over();
            return;
        }
        if (m_now < m_role.until) {
            return;
        }
        const std::size_t next = m_random.below(lookup_vms);
        if (!paused(next)) {
            acquire(next);
        }
    }

    void renew()
    {
        m_role.until = m_now + lookup_lease;
        m_machines[m_role.holder].roles->hold_all_until(m_role.until);
    }

    void finish_hand_over()
    {
        machine& old = m_machines[m_role.holder];
        if (!m_role.draining || !old.records->drained(m_group)) {
            return;
        }
        const std::size_t next =
            (m_role.holder + 1 + m_random.below(lookup_vms - 1)) % lookup_vms;
        for (const auto& part : old.records->hand_over(m_group, m_now)) {
            post(m_role.holder, vm_id(next + 1), part);
        }
        old.roles->hold_all_until(m_now);
        m_role.until = m_now;
        m_role.draining = false;
        if (!paused(next) && !chance(300)) {
            acquire(next);
        }
    }

    void acquire(std::size_t vm)
    {
        m_lost_holder = false;
        if (m_rates.skip_takeover_window) {
            record_handover forged;
            forged.group = m_group;
            forged.number = ++m_last_process;
            forged.parts = 1;
            forged.complete_for = std::chrono::seconds(100);
            m_machines[vm].records->receive_handover(forged, m_now);
        }
        m_role = {vm, m_now + lookup_lease, false};
        m_machines[vm].records->start(m_group, m_now);
        m_machines[vm].started = true;
        renew();
    }

    void send_callers()
    {
        if (!chance(400)) {
            return;
        }
        std::uint64_t number = ++m_last_request;
        if (number > 1 && chance(500)) {
            const std::uint64_t spread = chance(500) ? 3 : 30;
            const std::uint64_t recent = std::min(number, spread);
            number -= m_random.below(recent);
        }
        const auto first = m_first_sent.emplace(number, m_now).first->second;
        const std::size_t vm = m_random.below(lookup_vms);
        if (paused(vm) || m_now - first >= std::chrono::seconds(10)) {
            return;
        }
        admitted_request request;
        request.token = caller_token(++m_last_token);
        request.rights.workspace = workspace_id(1);
        request.body = std::to_string(number);
        const request_id id = request_id_of(workspace_id(1), request.body);
        request.lookup = id;
        request.deadline =
            m_now + std::chrono::milliseconds(200 + m_random.below(800));
        m_request_of[request.token] = id;
        m_may_run[id] += 1;
        machine& m = m_machines[vm];
        m.roles->believe_all(vm_id(m_role.holder + 1));
        if (chance(100)) {
            m.roles->believe_all(vm_id(1 + m_random.below(lookup_vms)));
        }
        m.client->start(request, m_now, m.out);
        flush(vm);
    }

    void tick(std::size_t vm)
    {
        if (paused(vm)) {
            return;
        }
        machine& m = m_machines[vm];
        if (chance(300)) {
            m.roles->believe_all(vm_id(m_role.holder + 1));
        }
        if (m.started && !m.roles->holds(m_group, m_now)) {
            m.records->stop(m_group);
            m.started = false;
        }
        m.records->tick(m_now, m.out);
        m.client->tick(m_now, m.out);
        flush(vm);
    }

    void flush(std::size_t vm)
    {
        machine& m = m_machines[vm];
        for (auto& sent : m.out.take_peer_messages()) {
            post(vm, sent.to, std::move(sent.body));
        }
        for (auto& c : m.out.take_commands()) {
            if (auto* answer = std::get_if<answer_caller>(&c)) {
                check(*answer);
            }
        }
    }

    void post(std::size_t from, vm_id to, peer_message body)
    {
        if (chance(m_rates.lost)) {
            return;
        }
        duration delay = std::chrono::milliseconds(m_random.below(15));
        if (chance(m_rates.delayed)) {
            delay = std::chrono::milliseconds(m_random.below(3000));
        }
        message sent{from, to.value(), 0, std::move(body), m_now + delay};
        if (to.value() <= lookup_vms) {
            sent.to_process = m_machines[to.value() - 1].process;
        }
        m_network.push_back(std::move(sent));
    }

    void deliver()
    {
        std::vector<message> later;
        std::vector<message> due;
        for (auto& sent : std::exchange(m_network, {})) {
            const bool held_up = sent.to <= lookup_vms && paused(sent.to - 1);
            const bool wait = m_now < sent.due || held_up;
            (wait ? later : due).push_back(std::move(sent));
        }
        m_network = std::move(later);
        while (!due.empty()) {
            const std::size_t i = m_random.below(due.size());
            std::swap(due[i], due.back());
            const message sent = std::move(due.back());
            due.pop_back();
            if (sent.to == owner_vm) {
                run_at_owner(sent);
            } else {
                deliver_to_vm(sent);
            }
        }
    }

    void deliver_to_vm(const message& sent)
    {
        machine& m = m_machines[sent.to - 1];
        if (sent.to_process != m.process) {
            return;
        }
        const vm_id from(sent.from + 1);
        const auto& body = sent.body;
        if (const auto* ask = std::get_if<lookup_ask>(&body)) {
            m.records->receive(from, *ask, m_now, m.out);
        } else if (const auto* reply = std::get_if<lookup_reply>(&body)) {
            m.client->receive(from, *reply, m_now, m.out);
        } else if (const auto* result = std::get_if<owner_reply>(&body)) {
            m.records->receive(vm_id(owner_vm), *result, m_now, m.out);
        } else if (const auto* part = std::get_if<record_handover>(&body)) {
            m.records->receive_handover(*part, m_now);
        }
        flush(sent.to - 1);
    }

    void run_at_owner(const message& sent)
    {
        const auto& request = std::get<owner_request>(sent.body);
        owner_reply reply;
        reply.query = request.query;
        shard_result result;
        result.id = request.asks.at(0).id;
        result.outcome = shard_outcome::shed;
        if (!chance(m_rates.refused)) {
            execute(request);
            result.outcome = chance(100)   ? shard_outcome::unknown
                             : chance(100) ? shard_outcome::failed
                                           : shard_outcome::done;
        }
        reply.results = {result};
        post(lookup_vms, vm_id(sent.from + 1), reply);
    }

    void execute(const owner_request& request)
    {
        executed += 1;
        const request_id id = request_id_of(workspace_id(1), request.body);
        if (++m_executions[id] > 1) {
            violations.push_back("an id ran twice");
        }
        if (m_may_run[id] == 0) {
            violations.push_back("an id ran after its last not_run");
        }
    }

    void check(const answer_caller& answer)
    {
        done_answers += std::holds_alternative<answered>(answer.answer) ? 1 : 0;
        if (!std::holds_alternative<not_run>(answer.answer)) {
            return;
        }
        not_run_answers += 1;
        m_may_run[m_request_of.at(answer.token)] -= 1;
        if (m_executions.count(m_request_of.at(answer.token)) > 0) {
            violations.push_back("not_run for an id that ran");
        }
    }

    seeded_random m_random;
    fault_rates m_rates;
    std::shared_ptr<const settings_index> m_settings;
    role_group_id m_group;
    manual_replica_picker m_picker;
    std::array<machine, lookup_vms> m_machines;
    role m_role;
    bool m_lost_holder = true;
    std::vector<message> m_network;
    time_point m_now{std::chrono::seconds(1000)};
    std::uint64_t m_last_process = 0;
    std::uint64_t m_last_request = 0;
    std::uint64_t m_last_token = 0;
    std::map<std::uint64_t, time_point> m_first_sent;
    std::map<caller_token, request_id> m_request_of;
    /** Caller requests by id that were not answered not_run. */
    std::map<request_id, int> m_may_run;
    std::map<request_id, int> m_executions;
};

} // namespace cranberrywood::fakes

#endif
