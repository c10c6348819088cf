#include "io/http_front.hpp"

namespace cranberrywood {

namespace {

constexpr const char* json_type = "application/json";
constexpr const char* text_type = "text/plain";
constexpr const char* key_header = "X-Workspace-Key";
/** Longest request in bytes; published settings bound the body further. */
constexpr std::size_t max_request_bytes = 256UL * 1024;
/** Interval at which a waiting request looks whether its caller has gone. */
constexpr auto gone_interval = std::chrono::milliseconds(20);
/** Time after its deadline at which a request is given up by the front. */
constexpr duration answer_grace = std::chrono::seconds(2);
/** Age of the node's status above which the process counts as stuck. */
constexpr duration max_status_age = std::chrono::seconds(2);

constexpr std::string_view method_prefix = "POST ";

/** Refusal for a connection of whose request only the start was read. */
std::string no_room_json(std::string_view request_start)
{
    std::optional<request_kind> kind;
    if (request_start.substr(0, method_prefix.size()) == method_prefix) {
        const std::string_view rest =
            request_start.substr(method_prefix.size());
        kind = kind_of_target(rest.substr(0, rest.find(' ')));
    }
    return refusal_at_front(503, reason::overloaded, "",
                            "waits behind too many others", kind)
        .json;
}

void write_answer(const http_answer& answer, httplib::Response& to)
{
    to.status = answer.status;
    to.set_content(answer.json, json_type);
}

reason reason_of_status(int status)
{
    return status >= 500 ? reason::overloaded : reason::malformed;
}

const char* what_of_status(int status)
{
    switch (status) {
    case 404:
        return "names no route";
    case 413:
        return "is too large";
    case 414:
        return "has too long a target";
    default:
        return "is not valid HTTP or came too slowly";
    }
}

} // namespace

http_front::http_front(const process_settings& settings,
                       const shared_state& state, const clock& time,
                       metrics& counts, event_sink to_node)
    : m_listen(settings.http), m_state(state), m_clock(time), m_metrics(counts),
      m_to_node(std::move(to_node)),
      m_server(settings.http_threads, settings.http_queue, no_room_json,
               [&counts] { counts.callers_refused.Increment(); })
{
    m_server.set_payload_max_length(max_request_bytes);
    add_routes();
}

http_front::~http_front()
{
    stop();
}

void http_front::add_routes()
{
    m_server.Post(query_target, [this](const request& from, reply& to) {
        serve(from, to, request_kind::query);
    });
    m_server.Post(lookup_target, [this](const request& from, reply& to) {
        serve(from, to, request_kind::lookup);
    });
    m_server.Get("/healthz", [this](const request&, reply& to) { health(to); });
    m_server.Get("/readyz",
                 [this](const request&, reply& to) { readiness(to); });
    m_server.Get("/status",
                 [this](const request&, reply& to) { report_status(to); });
    m_server.Get("/metrics",
                 [this](const request&, reply& to) { report_metrics(to); });
    m_server.set_error_handler(httplib::Server::Handler(
        [](const request& from, reply& to) { complete_error(from, to); }));
}

bool http_front::start()
{
    if (!m_server.bind_to_port(m_listen.host, m_listen.port)) {
        return false;
    }
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    return true;
}

void http_front::answer(caller_token token, response r)
{
    m_callers.answer(token, std::move(r));
}

void http_front::begin_leave()
{
    m_server.close_after_answers();
}

void http_front::stop()
{
    if (m_thread.joinable()) {
        m_server.stop();
        m_thread.join();
    }
}

void http_front::serve(const request& from, reply& to, request_kind kind)
{
    const time_point arrived = m_clock.now();
    auto read = read_request(from.body, kind);
    http_answer answer;
    if (const auto* fault = std::get_if<request_fault>(&read)) {
        answer = refusal_at_front(status_of(fault->why), fault->why,
                                  fault->field, fault->what, kind);
    } else {
        auto& asked = std::get<caller_request>(read);
        asked.key = from.get_header_value(key_header);
        answer = ask_node(std::move(asked));
    }
    m_metrics.answered_caller(answer.outcome, answer.reason,
                              m_clock.now() - arrived);
    write_answer(answer, to);
}

http_answer http_front::ask_node(caller_request asked)
{
    const duration deadline = asked.deadline;
    const caller_token token = m_callers.open();
    asked.token = token;
    m_to_node(std::move(asked));
    http_answer answer = await(token, deadline);
    m_callers.close(token);
    return answer;
}

http_answer http_front::await(caller_token token, duration deadline)
{
    const auto settings = m_state.settings();
    const time_point give_up = m_clock.now() + deadline + answer_grace;
    const int socket = caller_server::served_socket();
    reason why = reason::caller_gone;
    while (!caller_stream::caller_gone(socket)) {
        if (auto answer = m_callers.wait(token, gone_interval)) {
            return to_http(*answer, settings.get());
        }
        if (m_clock.now() >= give_up) {
            why = reason::deadline_passed;
            break;
        }
    }
    if (why == reason::caller_gone) {
        m_metrics.callers_gone.Increment();
    }
    m_to_node(caller_gone{token});
    const error_detail error{step::front, why, {}, {}, {}};
    return to_http(outcome_unknown{error}, settings.get());
}

void http_front::health(reply& to) const
{
    const auto reading = m_state.status();
    const bool fresh = reading && m_clock.now() - reading->at < max_status_age;
    to.status = fresh ? 200 : 503;
    to.set_content(fresh ? "ok\n" : "stuck\n", text_type);
}

void http_front::readiness(reply& to) const
{
    const auto reading = m_state.status();
    const bool ready = reading && reading->status.ready &&
                       !reading->status.leaving &&
                       m_clock.now() - reading->at < max_status_age;
    to.status = ready ? 200 : 503;
    to.set_content(ready ? "ready\n" : "not ready\n", text_type);
}

void http_front::report_status(reply& to) const
{
    const auto reading = m_state.status();
    const node_status status = reading ? reading->status : node_status();
    to.set_content(to_json(status, m_state.settings().get()), json_type);
}

void http_front::report_metrics(reply& to) const
{
    const auto reading = m_state.status();
    const node_status status = reading ? reading->status : node_status();
    to.set_content(m_metrics.text(status), "text/plain; version=0.0.4");
}

// The library answers some faults by itself and leaves the body empty.
void http_front::complete_error(const request& from, reply& to)
{
    if (to.body.empty()) {
        write_answer(refusal_at_front(to.status, reason_of_status(to.status),
                                      "", what_of_status(to.status),
                                      kind_of_target(from.path)),
                     to);
    }
}

} // namespace cranberrywood
