#include "loop/gateway_process.hpp"

#include "core/request_log.hpp"
#include "wire/gateway_codec.hpp"
#include "wire/relay_codec.hpp"

#include <csignal>
#include <random>

namespace cranberrywood {

namespace {

using namespace std::chrono_literals;
using error_code = boost::system::error_code;

/** Interval at which connections are looked at for idleness. */
constexpr duration sweep_interval = 500ms;
/** Interval while the source of the store's news is not chosen. */
constexpr duration undecided_interval = 50ms;
constexpr const char* ready_path = "/ready";
/** Path of the metrics at the control address. */
constexpr const char* metrics_path = "/metrics";
/** Bytes of a request to relay beside the caller's head and body. */
constexpr std::uint64_t relay_overhead = 4096;

/** The balancer's address has nothing to follow. */
mirror_update no_updates(incarnation /*process*/, std::uint64_t /*place*/)
{
    return {};
}

gateway_settings with_age(gateway_settings settings, duration age)
{
    settings.age = age;
    return settings;
}

std::uint64_t process_seed()
{
    std::random_device device;
    return (std::uint64_t(device()) << 32U) | device();
}

} // namespace

gateway_process::gateway_process(gateway_file file,
                                 const platform_adapter& adapter,
                                 event_log& log)
    : m_file(std::move(file)), m_adapter(adapter), m_log(log),
      m_io(1), m_loop{m_io, m_clock}, m_random(process_seed()),
      m_gateway(with_age(m_file.decisions, m_clock.process_age()), m_random,
                m_clock.now()),
      m_store(
          m_loop, adapter, log, {m_file.store, m_file.control.port}, m_random,
          m_gateway, [this](const gateway_event& event) { handle(event); },
          [this](std::uint64_t place) { m_control_front.news(place); }),
      m_front(m_loop, *this), m_ready_front(m_loop, no_updates),
      m_control_front(m_loop,
                      [this](incarnation process, std::uint64_t place) {
                          return m_store.update_for_followers(process, place);
                      }),
      m_links(m_loop, *this),
      m_relay_links(m_loop, m_file.control.port,
                    [this](exchange_ended ended) { handle(ended); }),
      m_peers(
          m_loop,
          [this](const std::string& from, gateway_datagram datagram) {
              handle(datagram_received{from, std::move(datagram)});
          },
          [this](const std::string& why) {
              m_log.write(log_code::peer_frame_refused, "why=\"" + why + '"');
          }),
      m_timer(m_io), m_sweep_timer(m_io), m_signals(m_io)
{
}

int gateway_process::run()
{
    // Before the first caller can connect, so that no signal cuts a request.
    wait_for_signals();
    if (!listen()) {
        return 1;
    }
    m_log.write(log_code::node_started,
                "data_centre=" + m_file.data_centre +
                    " callers=" + to_string(m_file.callers));
    m_log.write(log_code::startup_step_reached,
                "step=listening ms=" +
                    milliseconds_text(m_gateway.startup().age(m_clock.now())));
    m_store.start();
    sweep();
    m_io.run();
    return 0;
}

bool gateway_process::listen()
{
    m_ready_front.serve(ready_path, [this] {
        constexpr unsigned ok = 200;
        constexpr unsigned unavailable = 503;
        return http_answer_text{ready() ? ok : unavailable, "", ""};
    });
    m_control_front.serve(configuration_path, [this] {
        constexpr unsigned ok = 200;
        return http_answer_text{ok, "", encode(m_store.own_configuration())};
    });
    m_control_front.serve(metrics_path, [this] {
        constexpr unsigned ok = 200;
        return http_answer_text{ok, "", m_metrics.text(state())};
    });
    m_control_front.serve_calls(
        relay_path,
        [this](caller_token token, const std::string& body) {
            relay_asked(token, body);
        },
        [this](caller_token token) {
            handle(relay_withdrawn{relay_token(token.value())});
        });
    for (const auto& error :
         {m_front.listen(m_file.callers), m_ready_front.listen(m_file.ready),
          m_control_front.listen(m_file.control),
          m_peers.open({m_file.host, m_file.peer_port})}) {
        if (error) {
            m_log.write(log_code::port_not_free, "address=" + *error);
            return false;
        }
    }
    return true;
}

void gateway_process::relay_asked(caller_token token, const std::string& body)
{
    auto decoded = decode_relay_request(body);
    if (const auto* fault = std::get_if<wire_error>(&decoded)) {
        m_log.write(log_code::peer_frame_refused, "why=\"" + fault->what + '"');
        m_control_front.answer(
            token, encode_relay_result(
                       {{}, exchange_failure{exchange_fault::declined}, {}}));
        return;
    }
    auto& request = std::get<relay_request>(decoded);
    request.deadline -= m_lag.at(m_clock.now());
    handle(relay_requested{relay_token(token.value()), std::move(request)});
}

void gateway_process::request_read(caller_token token, http_request request,
                                   duration network_time)
{
    auto read = m_adapter.read_request(token, std::move(request));
    if (const auto* fault = std::get_if<improper_request>(&read)) {
        m_log.write(log_code::request_malformed,
                    "status=" + std::to_string(fault->status) + " why=\"" +
                        fault->why + '"');
        m_front.answer(token, {fault->status, "", ""});
        return;
    }
    auto& asked = std::get<request_received>(read);
    const time_point now = m_clock.now();
    asked.arrived = now - m_lag.at(now);
    asked.network_time = network_time;
    handle(std::move(asked));
}

void gateway_process::caller_closed(caller_token token)
{
    handle(caller_disconnected{token});
}

void gateway_process::bytes_refused(unsigned status)
{
    m_log.write(log_code::request_malformed,
                "status=" + std::to_string(status) + " why=\"no request\"");
}

void gateway_process::slow_reader_dropped(std::size_t held_bytes,
                                          duration stalled)
{
    m_log.write(log_code::slow_reader_dropped,
                "held_bytes=" + std::to_string(held_bytes) +
                    " stalled_ms=" + milliseconds_text(stalled));
}

answer_match gateway_process::match(const http_response& response,
                                    const std::string& request_id) const
{
    return m_adapter.match(response, request_id);
}

void gateway_process::exchange_answered(exchange_id exchange,
                                        http_response response)
{
    handle(
        exchange_ended{exchange, m_adapter.read_answer(std::move(response))});
}

void gateway_process::exchange_failed(exchange_id exchange,
                                      exchange_fault fault)
{
    handle(exchange_ended{exchange, exchange_failure{fault}});
}

void gateway_process::server_probed(backend_server_id server,
                                    probe_result result)
{
    handle(cranberrywood::server_probed{server, result});
}

void gateway_process::settings_changed()
{
    const auto& settings = m_gateway.settings();
    if (settings == nullptr || settings->version == m_version) {
        return;
    }
    m_version = settings->version;
    front_limits limits;
    limits.message = {settings->limits.header_bytes,
                      settings->limits.body_bytes};
    limits.header_timeout = settings->limits.header_timeout;
    limits.idle_timeout = settings->limits.idle_timeout;
    m_front.limit(limits);
    m_control_front.limit_body(limits.message.body_bytes +
                               limits.message.header_bytes + relay_overhead);
    m_log.write(log_code::revision_accepted,
                "revision=" + std::to_string(m_version));
}

void gateway_process::handle(const gateway_event& event)
{
    carry_out(m_gateway.handle(event, m_clock.now()));
    if (std::holds_alternative<catalogue_read>(event)) {
        settings_changed();
    }
    plan_wakeup();
}

void gateway_process::carry_out(const gateway_commands& commands)
{
    struct visitor
    {
        gateway_process& process;

        void operator()(const start_exchange& start) const
        {
            process.m_links.start(start,
                                  process.m_adapter.write_exchange(start));
        }
        void operator()(const start_relay& relay) const
        {
            process.m_relay_links.start(relay);
        }
        void operator()(const answer_relay& answer) const
        {
            process.m_control_front.answer(caller_token(answer.token.value()),
                                           encode_relay_result(answer.ended));
        }
        void operator()(const cancel_exchange& cancel) const
        {
            process.m_links.cancel(cancel.exchange);
            process.m_relay_links.cancel(cancel.exchange);
        }
        void operator()(const probe_server& probe) const
        {
            process.m_links.probe(probe);
        }
        void operator()(const answer_to_caller& answer) const
        {
            process.m_metrics.answered(answer.answer);
            process.m_front.answer(
                answer.token, process.m_adapter.write_answer(answer.answer));
        }
        void operator()(const send_datagram& send) const
        {
            process.m_peers.send(send.to, send.datagram);
        }
        void operator()(const gateway_log& log) const
        {
            process.m_log.write(log.code, log.text);
        }
    };
    for (const gateway_command& command : commands) {
        std::visit(visitor{*this}, command);
    }
}

void gateway_process::plan_wakeup()
{
    const auto next = m_gateway.next_wakeup();
    if (!next || (m_wakeup && *m_wakeup <= *next)) {
        return;
    }
    m_wakeup = next;
    m_wakeup_planned = m_clock.now();
    m_timer.expires_after(*next - m_wakeup_planned);
    m_timer.async_wait([this](const error_code& error) {
        if (error) {
            return;
        }
        m_lag.observe(m_wakeup_planned, *m_wakeup, m_clock.now());
        m_wakeup.reset();
        carry_out(m_gateway.tick(m_clock.now()));
        plan_wakeup();
    });
}

void gateway_process::sweep()
{
    const time_point now = m_clock.now();
    m_front.sweep(now);
    m_ready_front.sweep(now);
    m_control_front.sweep(now);
    m_store.review();
    m_links.sweep(now);
    m_relay_links.sweep(now);
    m_log.report_dropped();
    if (m_stop && continue_stop(now)) {
        m_io.stop();
        return;
    }
    m_sweep_timer.expires_after(next_sweep());
    m_sweep_timer.async_wait([this](const error_code& error) {
        if (!error) {
            sweep();
        }
    });
}

duration gateway_process::next_sweep() const
{
    if (m_store.undecided()) {
        return undecided_interval;
    }
    return m_stop ? sweep_interval / 5 : sweep_interval;
}

void gateway_process::wait_for_signals()
{
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        error_code error;
        m_signals.add(signal, error);
        if (error) {
            m_log.write(log_code::invariant_broken,
                        "what=\"signal cannot be waited for\"");
        }
    }
    m_signals.async_wait([this](const error_code& error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            m_log.write(log_code::settings_reloaded, "read=at_next_start");
        } else {
            begin_stop();
        }
        wait_for_signals();
    });
}

void gateway_process::begin_stop()
{
    if (m_stop) {
        return;
    }
    m_stop.emplace(m_clock.now(), m_file.stop_within);
    m_log.write(
        log_code::node_leaving,
        "requests_in_flight=" + std::to_string(m_gateway.open_request_count()) +
            " connections=" + std::to_string(m_front.connections()));
    m_front.close_after_answers();
    handle(vm_leaving{m_stop->balancer_noticed(), m_stop->answer_by()});
    m_sweep_timer.cancel();
    sweep();
}

// Once nobody can connect and every connection has ended, nothing is owed.
bool gateway_process::continue_stop(time_point now)
{
    if (now < m_stop->balancer_noticed()) {
        return false;
    }
    if (m_accepting) {
        m_accepting = false;
        m_front.stop_accepting();
    }
    m_front.close_idle();
    const bool late = now >= m_stop->end_by();
    if (late) {
        // A loop that was held up may not have come to the last answers.
        handle(vm_leaving{now, now});
    }
    const bool done = m_front.connections() == 0 &&
                      m_gateway.relayed_count() == 0 &&
                      m_gateway.open_request_count() == 0;
    if (!done && !late) {
        return false;
    }
    m_log.write(
        log_code::node_left,
        "requests_in_flight=" + std::to_string(m_gateway.open_request_count()) +
            " connections=" + std::to_string(m_front.connections()) +
            " relayed=" + std::to_string(m_gateway.relayed_count()));
    return true;
}

gateway_state gateway_process::state() const
{
    const time_point now = m_clock.now();
    gateway_state state;
    state.settings_version = m_gateway.settings_version();
    state.vms = m_gateway.members().fleet_size(now);
    state.limits_share = m_gateway.members().usable_share(now);
    state.backend_servers = m_gateway.server_count();
    state.open_requests = m_gateway.open_request_count();
    state.relayed_sends = m_gateway.relayed_count();
    state.caller_connections = m_front.connections();
    state.ready = ready();
    state.ready_seconds = m_gateway.startup().time_to(startup_step::ready);
    state.reaches_servers = m_gateway.reaches_servers(now);
    state.log_lines_dropped = m_log.lines_dropped();
    state.events = m_log.counts();
    return state;
}

bool gateway_process::ready() const
{
    return !m_stop && m_gateway.is_ready(m_clock.now());
}

} // namespace cranberrywood
