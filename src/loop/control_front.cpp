#include "loop/control_front.hpp"

#include "wire/gateway_codec.hpp"

#include <charconv>
#include <string_view>
#include <vector>

namespace cranberrywood {

namespace {

constexpr unsigned ok = 200;
constexpr unsigned bad_request = 400;
constexpr unsigned not_found = 404;
constexpr std::uint64_t max_wait_ms = 10000;

/** Returns the number that a query names; nothing when it names none. */
std::optional<std::uint64_t> number_of(std::string_view target,
                                       const std::string& name)
{
    const std::size_t at = target.find(name + "=");
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view text = target.substr(at + name.size() + 1);
    std::uint64_t number = 0;
    const auto read =
        std::from_chars(text.data(), text.data() + text.size(), number);
    return read.ec == std::errc() ? std::optional(number) : std::nullopt;
}

} // namespace

std::string follow_target(incarnation process, std::uint64_t place,
                          duration wait)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    return std::string(follow_path) +
           "?process=" + std::to_string(process.value()) +
           "&place=" + std::to_string(place) +
           "&wait_ms=" + std::to_string(ms.count());
}

control_front::control_front(loop_context& loop, update_source updates)
    : m_loop(loop), m_updates(std::move(updates)), m_front(loop, *this)
{
}

void control_front::serve(const std::string& path, page answer)
{
    m_pages[path] = std::move(answer);
}

void control_front::serve_calls(const std::string& path, call_handler called,
                                closed_handler closed)
{
    m_call_paths[path] = {std::move(called), std::move(closed)};
}

void control_front::answer(caller_token token, std::string body)
{
    if (m_calls.erase(token) != 0) {
        m_front.answer(token, {ok, "", std::move(body)});
    }
}

void control_front::limit_body(std::uint64_t bytes)
{
    m_limits.message.body_bytes = bytes;
    m_front.limit(m_limits);
}

void control_front::limit_connections(std::size_t most)
{
    m_limits.max_connections = most;
    m_front.limit(m_limits);
}

std::optional<std::string> control_front::listen(const endpoint& address)
{
    return m_front.listen(address);
}

void control_front::news(std::uint64_t place)
{
    std::vector<caller_token> served;
    for (const auto& [token, w] : m_waiters) {
        if (w.place < place) {
            served.push_back(token);
        }
    }
    for (const caller_token token : served) {
        const waiter w = m_waiters[token];
        m_waiters.erase(token);
        answer_waiter(token, w);
    }
}

void control_front::sweep(time_point now)
{
    std::vector<caller_token> late;
    for (const auto& [token, w] : m_waiters) {
        if (now >= w.until) {
            late.push_back(token);
        }
    }
    for (const caller_token token : late) {
        const waiter w = m_waiters[token];
        m_waiters.erase(token);
        answer_waiter(token, w);
    }
    m_front.sweep(now);
}

void control_front::request_read(caller_token token, http_request request,
                                 duration /*network_time*/)
{
    const std::string target(request.target().data(), request.target().size());
    const std::string path = target.substr(0, target.find('?'));
    if (path == follow_path) {
        follow(token, target);
        return;
    }
    const auto call = m_call_paths.find(path);
    if (call != m_call_paths.end()) {
        m_calls[token] = call->second.closed;
        call->second.called(token, request.body());
        return;
    }
    const auto found = m_pages.find(path);
    m_front.answer(token, found == m_pages.end()
                              ? http_answer_text{not_found, "", ""}
                              : found->second());
}

void control_front::follow(caller_token token, const std::string& target)
{
    const auto process = number_of(target, "process");
    const auto place = number_of(target, "place");
    const auto wait_ms = number_of(target, "wait_ms");
    if (!process || !place || !wait_ms) {
        m_front.answer(token, {bad_request, "", ""});
        return;
    }
    const waiter w{incarnation(*process), *place,
                   m_loop.time.now() + std::chrono::milliseconds(
                                           std::min(*wait_ms, max_wait_ms))};
    const mirror_update update = m_updates(w.process, w.place);
    if (update.whole || !update.items.empty()) {
        m_front.answer(token, {ok, "", encode(update)});
        return;
    }
    m_waiters[token] = w;
}

void control_front::answer_waiter(caller_token token, const waiter& w)
{
    m_front.answer(token, {ok, "", encode(m_updates(w.process, w.place))});
}

void control_front::caller_closed(caller_token token)
{
    m_waiters.erase(token);
    const auto call = m_calls.find(token);
    if (call != m_calls.end()) {
        const closed_handler closed = std::move(call->second);
        m_calls.erase(call);
        closed(token);
    }
}

void control_front::bytes_refused(unsigned /*status*/)
{
    // The refusal is all there is to say to a prober.
}

void control_front::slow_reader_dropped(std::size_t /*held_bytes*/,
                                        duration /*stalled*/)
{
    // A follower that lost its reader says so in its own log.
}

} // namespace cranberrywood
