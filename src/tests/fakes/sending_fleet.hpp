#ifndef CRANBERRYWOOD_TESTS_FAKES_SENDING_FLEET_HPP
#define CRANBERRYWOOD_TESTS_FAKES_SENDING_FLEET_HPP

#include "fakes/sending_vm.hpp"

#include <functional>
#include <map>
#include <memory>

namespace cranberrywood::fakes {

using namespace std::chrono_literals;

/** What befalls the fleet besides the slowdown. */
struct fleet_variant
{
    bool shared = true;
    std::uint64_t lost_percent = 0;
    bool prober_ends = false;
    bool invalid_reports = false;
    std::uint64_t seed = 7;
};

/** VMs that send to shards of three servers, over simulated time. */
class sending_fleet
{
public:
    explicit sending_fleet(const fleet_variant& how) : m_how(how)
    {
        for (std::uint64_t i = 0; i < vm_count; ++i) {
            m_vms.push_back(std::make_unique<sending_vm>(i));
            m_by_address[m_vms[i]->members.self()] = m_vms[i].get();
        }
        gateway_datagram hello;
        hello.fleet_size = vm_count;
        hello.settled = true;
        for (const auto& at : m_vms) {
            for (const auto& [address, other] : m_by_address) {
                at->members.received(address, hello, m_now);
            }
            sending_vm* v = at.get();
            m_events.emplace(m_now + duration(m_random.below(500) * 1ms),
                             [this, v] { beat(*v); });
        }
        m_events.emplace(m_now, [this] { query(); });
        m_events.emplace(slow_begin + 4s, [this] { end_prober(); });
        m_events.emplace(slow_begin - 2s, [this] { report_nonsense(); });
    }
    void run_until(time_point stop)
    {
        while (m_events.begin()->first < stop) {
            const auto first = m_events.begin();
            m_now = first->first;
            const auto event = std::move(first->second);
            m_events.erase(first);
            event();
        }
        m_now = stop;
    }
    /** Returns the first sends to each server since the last call. */
    std::map<std::uint64_t, int> take_sends()
    {
        return std::exchange(m_sends, {});
    }
    /** Returns the share of slow servers that a VM takes for impaired. */
    double impaired_share() const
    {
        double impaired = 0;
        double all = 0;
        for (const auto& v : m_vms) {
            for (std::uint64_t id = 1; id <= server_count; ++id) {
                const bool counts = v->alive && becomes_slow(id);
                all += counts ? 1 : 0;
                impaired += counts && v->conditions.is_impaired(
                                          backend_server_id(id), m_now)
                                ? 1
                                : 0;
            }
        }
        return impaired / all;
    }
    int datagrams = 0;

private:
    void after(duration wait, std::function<void()> event)
    {
        m_events.emplace(m_now + wait, std::move(event));
    }
    void query()
    {
        after(query_gap, [this] { query(); });
        sending_vm& v = *m_vms[m_random.below(vm_count)];
        const bool may_probe = m_random.below(4) != 0;
        for (std::uint64_t shard = 1; v.alive && shard <= shard_count;
             ++shard) {
            choice_criteria terms;
            terms.service = service_id(shard);
            terms.own_data_centre = v.own;
            terms.keep_to_two = true;
            terms.may_probe = may_probe;
            const auto chosen = v.choice.choose(terms, m_now);
            if (const auto* id = std::get_if<backend_server_id>(&chosen)) {
                send(v, *id);
            }
        }
    }
    void send(sending_vm& v, backend_server_id id)
    {
        ++m_sends[id.value()];
        const exchange_id exchange(++m_last_exchange);
        v.observer.sent(id, exchange, m_now);
        v.conditions.record_sent(id, m_now);
        const judged_send sent{id, m_now, usual};
        const duration taken = latency_of(id.value());
        if (taken > late_age) {
            after(late_age, [=, &v] {
                v.evidence.late(sent, m_now, v.out);
                announce(v);
            });
        }
        after(std::min(taken, target), [=, &v] {
            if (taken < target) {
                v.observer.answered(id, exchange, true, m_now);
                v.evidence.answered(sent, m_now, v.out);
            } else {
                v.observer.cancelled(id, exchange, m_now);
                v.evidence.cancelled(sent, m_now, v.out);
            }
            announce(v);
        });
    }
    duration latency_of(std::uint64_t id)
    {
        duration taken = usual * (75 + m_random.below(51)) / 100;
        if (becomes_slow(id) && m_now >= slow_begin && m_now < slow_end) {
            taken *= slow_factor;
        }
        const duration in_cycle = (m_now.time_since_epoch() + id * 170ms) % 6s;
        return taken + std::max(duration(0), 250ms - in_cycle);
    }
    void announce(sending_vm& v)
    {
        gateway_datagram news;
        news.suspicions = v.suspicions.take_local_suspicions();
        news.conditions = v.conditions.take_reports();
        v.out.clear();
        if (!v.alive || (news.suspicions.empty() && news.conditions.empty())) {
            return;
        }
        const std::chrono::duration<double> passed = m_now - v.budget_at;
        v.budget = std::min(150.0, v.budget + 100.0 * passed.count());
        v.budget_at = m_now;
        v.members.fill(news, m_now);
        for (const std::string& to : v.members.live(m_now)) {
            if (v.budget >= 1.0) {
                v.budget -= 1.0;
                pass(v, to, news);
            }
        }
    }
    void beat(sending_vm& v)
    {
        v.conditions.drop_expired(m_now, v.out);
        for (const std::string& to : v.members.heartbeat_targets(m_now)) {
            gateway_datagram heartbeat;
            v.members.fill(heartbeat, m_now);
            v.members.add_hints(heartbeat, m_now);
            heartbeat.conditions = v.conditions.reports_to_repeat(m_now);
            pass(v, to, heartbeat);
        }
        if (v.alive) {
            after(heartbeat_interval, [this, &v] { beat(v); });
        }
    }
    void pass(sending_vm& from, const std::string& to,
              const gateway_datagram& sent)
    {
        ++datagrams;
        sending_vm& v = *m_by_address.at(to);
        if (m_random.below(100) < m_how.lost_percent || !v.alive) {
            return;
        }
        after(one_way, [this, &from, &v, sent] {
            v.members.received(from.members.self(), sent, m_now);
            if (m_how.shared) {
                apply(v, sent);
            }
        });
    }
    void apply(sending_vm& v, const gateway_datagram& datagram)
    {
        v.suspicions.apply_remote(datagram.suspicions, m_now);
        v.conditions.apply_remote(datagram.suspicions, m_now, v.out);
        v.conditions.apply_remote(datagram.conditions, m_now);
        announce(v);
    }
    /** Ends a VM that probes the first slow server. */
    void end_prober()
    {
        if (m_how.prober_ends) {
            const auto probers = m_vms[0]->members.ranked(3, 4);
            m_by_address.at(probers.front())->alive = false;
        }
    }
    void report_nonsense()
    {
        gateway_datagram sent;
        for (const std::uint64_t id : {1, 2, 3, 99}) {
            const backend_server_id server(id);
            const duration ok = id == 99 ? 1ms : 4s;
            sent.conditions.push_back({server, true, false, 200ms, ok});
            sent.conditions.push_back({server, true, true, -1ms, 1ms});
            sent.conditions.push_back({server, true, true, 1h, 1ms});
            sent.conditions.push_back({server, false, false, 0ms, -1ms});
            sent.suspicions.push_back(
                {server, -1s, suspicion_cause::failed, ok});
        }
        for (const auto& v : m_vms) {
            if (m_how.invalid_reports) {
                apply(*v, sent);
            }
        }
        after(100ms, [this] { report_nonsense(); });
    }

    fleet_variant m_how;
    seeded_random m_random{m_how.seed};
    time_point m_now{2h};
    std::vector<std::unique_ptr<sending_vm>> m_vms;
    std::map<std::string, sending_vm*> m_by_address;
    std::multimap<time_point, std::function<void()>> m_events;
    std::map<std::uint64_t, int> m_sends;
    std::uint64_t m_last_exchange = 0;
};

} // namespace cranberrywood::fakes

#endif
