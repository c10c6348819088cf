#include "soak/soak_checker.hpp"

#include "systems/queries/record_merge.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace cranberrywood::soak {

namespace {

using found = std::vector<std::string>;

/** Arrivals by request, in the order of their times. */
using arrivals_by_request = std::map<std::string, std::vector<const arrival*>>;

std::size_t runs_of(const std::vector<const arrival*>& arrivals)
{
    return static_cast<std::size_t>(
        std::count_if(arrivals.begin(), arrivals.end(),
                      [](const arrival* a) { return a->run; }));
}

void check_runs(const asked_request& request,
                const std::vector<const arrival*>& arrivals, found& broken)
{
    const std::size_t runs = runs_of(arrivals);
    if (!request.repeatable && runs > 1) {
        broken.push_back("at most once: " + request.id + " ran " +
                         std::to_string(runs) + " times");
    }
    if (!request.allowed && !arrivals.empty()) {
        broken.push_back("keys: " + request.id +
                         " reached a server with a withdrawn key");
    }
    for (const arrival* a : arrivals) {
        if (a->workspace != request.workspace) {
            broken.push_back("workspace: " + request.id + " ran for " +
                             a->workspace);
        }
        if (a->server_was_leaving) {
            broken.push_back("leaving: " + request.id + " was sent to server " +
                             std::to_string(a->server.value()));
        }
    }
}

/** Checks an answer against the runs of its request. */
struct answer_check
{
    const asked_request& request;
    const std::vector<const arrival*>& arrivals;
    found& broken;

    void operator()(const relayed_answer& answer) const
    {
        const bool known = std::any_of(
            arrivals.begin(), arrivals.end(), [&](const arrival* a) {
                return a->receipt == answer.receipt &&
                       a->body == answer.message->body;
            });
        if (!known) {
            broken.push_back("answer: " + request.id + " got " +
                             answer.receipt + ", which is not its own");
        }
    }
    void operator()(const gathered_answer& answer) const
    {
        std::set<service_id> named;
        std::vector<std::string_view> parts;
        for (const std::string& receipt : answer.receipts) {
            for (const arrival* a : arrivals) {
                if (a->run && a->receipt == receipt) {
                    named.insert(a->service);
                    parts.push_back(a->body);
                }
            }
        }
        constexpr std::uint32_t most_records = 3;
        const bool whole_count =
            answer.receipts.size() + answer.missing == request.services.size();
        if (named.size() != answer.receipts.size() || !whole_count ||
            answer.records != merge_records(parts, most_records)) {
            broken.push_back("coverage: " + request.id + " names " +
                             std::to_string(answer.receipts.size()) +
                             " parts, " + std::to_string(named.size()) +
                             " are its own");
        }
    }
    void operator()(const refused_answer& /*answer*/) const
    {
        if (runs_of(arrivals) > 0) {
            broken.push_back("not run: " + request.id +
                             " was refused and has run");
        }
    }
    void operator()(const failed_answer& /*answer*/) const {}
};

void check_answers(const asked_request& request,
                   const std::vector<const arrival*>& arrivals,
                   const limits& held_to, found& broken)
{
    for (const gateway_answer& answer : request.answers) {
        std::visit(answer_check{request, arrivals, broken}, answer);
    }
    if (request.answers.size() > 1) {
        broken.push_back("answers: " + request.id + " got " +
                         std::to_string(request.answers.size()));
    }
    const bool late =
        request.answers.empty() ||
        request.answered_at > request.deadline + held_to.answer_slack;
    if (late && !request.disturbed) {
        broken.push_back("deadline: " + request.id + " has no answer in time");
    }
}

/** Counts things in a sliding window of time. */
class window_count
{
public:
    explicit window_count(duration length) : m_length(length) {}

    std::size_t add(time_point at)
    {
        m_times.push_back(at);
        return count(at);
    }
    std::size_t count(time_point now)
    {
        while (!m_times.empty() && now - m_times.front() >= m_length) {
            m_times.pop_front();
        }
        return m_times.size();
    }

private:
    duration m_length;
    std::deque<time_point> m_times;
};

void check_rates(const trace& run, const limits& held_to,
                 const std::vector<workspace_limit>& workspaces, found& broken)
{
    for (const workspace_limit& limit : workspaces) {
        const std::chrono::duration<double> seconds = held_to.rate_window;
        const double most = (limit.rate * seconds.count() + limit.burst) *
                                (1.0 + held_to.rate_overshoot) +
                            held_to.rate_slack;
        window_count admitted(held_to.rate_window);
        std::set<std::string> seen;
        for (const arrival& a : run.arrivals) {
            if (a.run && a.workspace == limit.name &&
                seen.insert(a.request).second &&
                static_cast<double>(admitted.add(a.at)) > most) {
                broken.push_back("rate: " + limit.name + " ran more than " +
                                 std::to_string(most) + " in a window");
                break;
            }
        }
    }
}

void check_extra_sends(const trace& run, const limits& held_to, found& broken)
{
    std::map<service_id, window_count> extra;
    std::map<service_id, window_count> requests;
    std::set<std::pair<std::string, service_id>> seen;
    for (const arrival& a : run.arrivals) {
        auto& firsts = requests.try_emplace(a.service, 2 * held_to.extra_window)
                           .first->second;
        if (seen.insert({a.request, a.service}).second) {
            firsts.add(a.at);
            continue;
        }
        const std::size_t count =
            extra.try_emplace(a.service, held_to.extra_window)
                .first->second.add(a.at);
        const double most =
            held_to.extra_share * static_cast<double>(firsts.count(a.at)) +
            held_to.extra_slack;
        if (static_cast<double>(count) > most) {
            broken.push_back("extra sends: service " +
                             std::to_string(a.service.value()) + " got " +
                             std::to_string(count));
            return;
        }
    }
}

} // namespace

std::vector<std::string> check(const trace& run, const limits& held_to,
                               const std::vector<workspace_limit>& workspaces)
{
    found broken;
    arrivals_by_request arrivals;
    for (const arrival& a : run.arrivals) {
        arrivals[a.request].push_back(&a);
    }
    for (const asked_request& request : run.requests) {
        check_runs(request, arrivals[request.id], broken);
        check_answers(request, arrivals[request.id], held_to, broken);
    }
    check_rates(run, held_to, workspaces, broken);
    check_extra_sends(run, held_to, broken);
    const auto owed = static_cast<double>(run.asked_after_faults);
    if (static_cast<double>(run.served_after_faults) <
        owed * held_to.served_after_faults) {
        broken.push_back(
            "recovery: " + std::to_string(run.served_after_faults) + " of " +
            std::to_string(run.asked_after_faults) +
            " requests are served after the faults");
    }
    return broken;
}

} // namespace cranberrywood::soak
