#include "randomised/trace_checker.hpp"

#include <algorithm>

namespace cranberrywood::randomised {

namespace {

using namespace std::chrono_literals;

/** Longest time from admission to the first run at a server. */
constexpr duration admission_to_run = 400ms;
/** Time from an ask after which nothing more is run for it. */
constexpr duration longest_request = 1s;

using runs_by_body =
    std::map<std::string, std::vector<const fakes::execution*>>;

/** The trace of one run with an index by request body. */
class trace
{
public:
    trace(const fakes::fake_fleet& fleet, const run_facts& facts)
        : m_fleet(fleet), m_facts(facts)
    {
        for (const auto& run : fleet.executions()) {
            m_runs[run.request.body].push_back(&run);
        }
        for (const auto& caller : fleet.callers()) {
            m_asks[caller.request.body].push_back(&caller);
        }
    }

    std::vector<std::string> check()
    {
        for (const auto& caller : m_fleet.callers()) {
            check_caller(caller);
        }
        check_single_runs();
        check_rates();
        check_forbidden();
        return std::move(m_broken);
    }

private:
    static std::string millis(time_point t)
    {
        const auto since =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                t.time_since_epoch() - 1h);
        return std::to_string(since.count()) + "ms";
    }

    void broken(const std::string& invariant, const fakes::caller_record& c,
                const std::string& detail)
    {
        m_broken.push_back(invariant + ": request " + c.request.body +
                           " at vm-" + std::to_string(c.vm) + " asked " +
                           millis(c.asked_at) + ": " + detail);
    }

    void check_caller(const fakes::caller_record& caller)
    {
        if (caller.further_answers != 0) {
            broken("one answer", caller, "answered again");
        }
        if (!caller.answer) {
            return;
        }
        if (const auto* a = std::get_if<answered>(&*caller.answer)) {
            check_answer(caller, *a);
        } else if (std::holds_alternative<not_run>(*caller.answer)) {
            check_not_run(caller);
        }
    }

    void check_answer(const fakes::caller_record& caller, const answered& a)
    {
        const std::string expected =
            caller.request.body + "@" + std::to_string(a.covers.index.value());
        for (const auto& h : a.hits) {
            if (h.text != expected) {
                broken("own answer of one snapshot", caller, "hit " + h.text);
            }
        }
        std::uint64_t covered = 0;
        std::uint64_t total = 0;
        for (const auto& shard : a.covers.shards) {
            const auto keys = shard.last_key - shard.first_key + 1;
            total += keys;
            if (!shard.covered) {
                continue;
            }
            covered += keys;
            if (!was_run(caller.request.body, shard.shard, a.covers.index)) {
                broken("true coverage", caller, "covers a shard not run");
            }
            const std::string key =
                std::to_string(shard.shard.value()) + ":" + caller.request.body;
            const bool has_hit =
                std::any_of(a.hits.begin(), a.hits.end(),
                            [&](const hit& h) { return h.key == key; });
            if (!has_hit) {
                broken("whole answer", caller, "lacks a covered shard's hit");
            }
        }
        if (covered != a.covers.covered_keys || total != a.covers.total_keys) {
            broken("true coverage", caller, "sums differ");
        }
        const std::uint64_t fleet_keys = m_facts.shape.shards * 1000ULL;
        if (!caller.request.is_lookup() && total != fleet_keys) {
            broken("true coverage", caller, "total differs");
        }
    }

    bool was_run(const std::string& body, shard_id shard,
                 index_version index) const
    {
        const auto runs = m_runs.find(body);
        return runs != m_runs.end() &&
               std::any_of(runs->second.begin(), runs->second.end(),
                           [&](const fakes::execution* e) {
                               return e->completed &&
                                      e->request.shard == shard &&
                                      e->request.index == index;
                           });
    }

    // Resends share their body. A run is held against the refusal of a
    // lookup when it came before; and against that of a query when no other
    // ask can have caused it.
    void check_not_run(const fakes::caller_record& caller)
    {
        const auto runs = m_runs.find(caller.request.body);
        if (runs == m_runs.end()) {
            return;
        }
        for (const auto* run : runs->second) {
            const bool caused = is_only_cause(caller, run->at);
            const bool earlier =
                caller.request.is_lookup() && run->at < caller.answered_at;
            if (caused || earlier) {
                broken("true not_run", caller, "a server ran it");
                return;
            }
        }
    }

    // A run belongs to an ask that has its body alone, or that alone was
    // asked shortly before. A VM that is paused reads a request late, so one
    // that it answers after the run may also be the cause.
    bool is_only_cause(const fakes::caller_record& caller, time_point run) const
    {
        const auto& asks = m_asks.at(caller.request.body);
        if (asks.size() == 1) {
            return true;
        }
        const auto recent = [&](const fakes::caller_record& asked) {
            const bool open = asked.answer && asked.answered_at > run;
            return asked.asked_at <= run &&
                   (open || asked.asked_at > run - longest_request);
        };
        const auto causes =
            std::count_if(asks.begin(), asks.end(),
                          [&](const auto* asked) { return recent(*asked); });
        return recent(caller) && causes == 1;
    }

    void check_single_runs()
    {
        for (const auto& [body, runs] : m_runs) {
            const auto once = std::count_if(runs.begin(), runs.end(),
                                            [](const fakes::execution* e) {
                                                return !e->request.repeatable;
                                            });
            if (once > 1) {
                m_broken.push_back("at most once: " + body + " ran " +
                                   std::to_string(once) + " times");
            }
        }
    }

    // The run of a request comes after its admission by less than a known
    // time, so a window of runs lies in one of admissions that much longer.
    void check_rates()
    {
        std::map<std::string, std::vector<time_point>> starts;
        for (const auto& [body, runs] : m_runs) {
            const auto first = std::min_element(
                runs.begin(), runs.end(),
                [](const auto* a, const auto* b) { return a->at < b->at; });
            starts[body.substr(0, body.find('#'))].push_back((*first)->at);
        }
        for (auto& [workspace, times] : starts) {
            std::sort(times.begin(), times.end());
            check_rate(workspace, times);
        }
    }

    void check_rate(const std::string& workspace,
                    const std::vector<time_point>& times)
    {
        const double burst =
            static_cast<double>(m_facts.shape.burst_milli) / 1000.0;
        const double rate =
            static_cast<double>(m_facts.shape.rate_milli) / 1000.0;
        for (std::size_t i = 0; i < times.size(); ++i) {
            for (std::size_t j = i; j < times.size(); ++j) {
                const std::chrono::duration<double> window =
                    times[j] - times[i] + admission_to_run;
                const double allowed = burst + rate * window.count();
                if (static_cast<double>(j - i + 1) > allowed) {
                    m_broken.push_back("fleet-wide rate: " + workspace + ": " +
                                       std::to_string(j - i + 1) + " in " +
                                       std::to_string(window.count()) + " s");
                    return;
                }
            }
        }
    }

    void check_forbidden()
    {
        for (const auto& span : m_facts.forbidden) {
            for (const auto& run : m_fleet.executions()) {
                if (run.at < span.from || run.at >= span.to) {
                    continue;
                }
                const std::string& body = run.request.body;
                const bool by_key =
                    !span.workspace.empty() &&
                    body.compare(0, body.find('#'), span.workspace) == 0;
                const bool by_place =
                    span.data_centre.is_set() &&
                    m_facts.place_of.at(run.server) == span.data_centre;
                if (by_key || by_place) {
                    m_broken.push_back(std::string(by_key
                                                       ? "withdrawn key: "
                                                       : "data centre out: ") +
                                       body + " ran at " + millis(run.at) +
                                       ", forbidden from " + millis(span.from));
                    break;
                }
            }
        }
    }

    const fakes::fake_fleet& m_fleet;
    const run_facts& m_facts;
    runs_by_body m_runs;
    std::map<std::string, std::vector<const fakes::caller_record*>> m_asks;
    std::vector<std::string> m_broken;
};

} // namespace

std::vector<std::string> check_trace(const fakes::fake_fleet& fleet,
                                     const run_facts& facts)
{
    return trace(fleet, facts).check();
}

} // namespace cranberrywood::randomised
