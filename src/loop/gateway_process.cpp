#include "loop/gateway_process.hpp"

#include "core/request_log.hpp"
#include "wire/gateway_codec.hpp"
#include "wire/relay_codec.hpp"

#include <boost/asio/post.hpp>
#include <csignal>
#include <filesystem>
#include <malloc.h>
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

constexpr stream_accounts caller_accounts{memory_account::request_reading,
                                          memory_account::caller_answers};
/** Time for which a caller may take or send nothing while memory is short. */
constexpr duration late_under_pressure = 2s;
/** The same above the hard limit, before those that are not late are closed. */
constexpr duration late_above_hard_limit = 1s;
/** Delays given to callers that are refused for want of memory. */
constexpr duration least_memory_wait = 500ms;
constexpr std::uint64_t memory_wait_spread_ms = 1000;
/** Allocations from this size on are returned to the system when freed. */
constexpr int mapped_allocation = 65536;

/** A value that counts as held as long as anyone refers to it. */
template <class Value>
std::shared_ptr<const Value>
counted(memory_ledger& ledger, memory_account account,
        std::shared_ptr<const Value> value, std::size_t bytes)
{
    struct holder
    {
        holder(memory_ledger& l, memory_account a,
               std::shared_ptr<const Value> v)
            : value(std::move(v)), hold(l, a)
        {
        }
        std::shared_ptr<const Value> value;
        memory_hold hold;
    };
    auto kept = std::make_shared<holder>(ledger, account, std::move(value));
    kept->hold.set(bytes);
    const Value* plain = kept->value.get();
    return {std::move(kept), plain};
}

std::size_t descriptors_in_use()
{
    std::error_code error;
    const std::filesystem::directory_iterator open("/proc/self/fd", error);
    return error ? 0
                 : static_cast<std::size_t>(
                       std::distance(begin(open), end(open)));
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
      m_front(m_loop, *this, caller_accounts, true),
      m_ready_front(m_loop, no_updates),
      m_control_front(m_loop,
                      [this](incarnation process, std::uint64_t place) {
                          return m_store.update_for_followers(process, place);
                      }),
      m_links(m_loop, *this), m_relay_links(m_loop, m_file.control.port,
                                            [this](exchange_ended ended) {
                                                count_answer(ended);
                                                handle(ended);
                                            }),
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
    apply_limits();
}

void gateway_process::apply_limits()
{
    if (m_file.memory_mb) {
        m_loop.memory.limit(limits_of_memory(*m_file.memory_mb));
        m_loop.memory.on_change(
            [this](memory_pressure /*now*/) { pressure_changed(); });
        // By default the threshold grows with what is freed, and large answers
        // then leave a heap that is never given back.
        ::mallopt(M_MMAP_THRESHOLD, mapped_allocation);
        ::mallopt(M_TRIM_THRESHOLD, mapped_allocation);
        m_front_limits.max_held_bytes = m_loop.memory.limits().hard;
    }
    if (m_file.open_files) {
        const descriptor_budget budget =
            budget_of_descriptors(*m_file.open_files);
        m_front_limits.max_connections = budget.callers;
        m_links.limit_connections(budget.servers);
        m_control_front.limit_connections(budget.peers_in / 4 * 3);
        m_ready_front.limit_connections(budget.peers_in / 4);
        m_relay_links.limit_connections(budget.peers_out);
    }
    m_front.limit(m_front_limits);
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
    if (m_loop.memory.pressure() != memory_pressure::none) {
        m_control_front.answer(
            token, encode_relay_result(
                       {{}, exchange_failure{exchange_fault::declined}, {}}));
        return;
    }
    auto& request = std::get<relay_request>(decoded);
    request.deadline -= m_lag.at(m_clock.now());
    request.outbound =
        counted_request(std::move(request.outbound), memory_account::peers);
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
    asked.outbound = counted_request(std::move(asked.outbound),
                                     memory_account::admitted_requests);
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

http_answer_text gateway_process::refuse_for_memory()
{
    refused_answer refused;
    refused.why = refusal_reason::overloaded;
    // Drawn, so that callers do not come back all at once.
    refused.retry_after =
        least_memory_wait +
        std::chrono::milliseconds(m_random.below(memory_wait_spread_ms));
    const gateway_answer answer = refused;
    m_metrics.answered(answer);
    return m_adapter.write_answer(answer);
}

// Connections are not closed from within, as the change may come from one.
void gateway_process::pressure_changed()
{
    if (m_pressure_posted) {
        return;
    }
    m_pressure_posted = true;
    boost::asio::post(m_io, [this] {
        m_pressure_posted = false;
        relieve_memory();
    });
}

void gateway_process::relieve_memory()
{
    const memory_ledger& memory = m_loop.memory;
    if (memory.pressure() > m_reported_pressure) {
        report_pressure();
    }
    if (memory.pressure() == memory_pressure::hard) {
        m_front.relieve(memory.excess_of(memory_pressure::hard),
                        late_above_hard_limit);
    }
    if (memory.pressure() == memory_pressure::hard) {
        m_front.relieve(memory.excess_of(memory_pressure::hard), duration(0));
    }
    if (memory.pressure() < memory_pressure::hard) {
        m_links.pressure_fell();
        m_front.pressure_fell();
    }
}

void gateway_process::report_pressure()
{
    const memory_ledger& memory = m_loop.memory;
    m_reported_pressure = memory.pressure();
    std::string text = std::string("pressure=") + name_of(m_reported_pressure) +
                       " held_bytes=" + std::to_string(memory.sum()) +
                       " soft_limit=" + std::to_string(memory.limits().soft) +
                       " hard_limit=" + std::to_string(memory.limits().hard);
    for (std::size_t i = 0; i < memory_ledger::accounts; ++i) {
        const auto account = static_cast<memory_account>(i);
        text += std::string(" ") + name_of(account) + "=" +
                std::to_string(memory.bytes(account));
    }
    const closed_connections& closed = m_front.closed();
    text += " closed_readers=" + std::to_string(closed.slow_readers) +
            " closed_bodies=" + std::to_string(closed.slow_bodies);
    m_log.write(log_code::memory_pressure_changed, text);
}

// A fall is reported here only, so that a sum near a limit writes few lines.
void gateway_process::review_limits()
{
    const memory_ledger& memory = m_loop.memory;
    if (memory.pressure() < m_reported_pressure) {
        report_pressure();
    }
    if (memory.pressure() != memory_pressure::none) {
        // Otherwise those that wait for nothing would keep all others out
        // until their time is over.
        m_front.relieve(memory.excess_of(memory_pressure::soft),
                        late_under_pressure);
        relieve_memory();
    }
    if (m_front.is_full() != m_reported_full) {
        m_reported_full = m_front.is_full();
        const closed_connections& closed = m_front.closed();
        m_log.write(
            log_code::descriptor_pressure_changed,
            std::string("full=") + (m_reported_full ? "1" : "0") +
                " caller_connections=" + std::to_string(m_front.connections()) +
                " limit=" + std::to_string(m_front_limits.max_connections) +
                " closed_idle=" + std::to_string(closed.idle) +
                " turned_away=" + std::to_string(closed.turned_away));
    }
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
    exchange_ended ended{
        exchange, m_adapter.read_answer(std::move(response)), {}};
    count_answer(ended);
    handle(ended);
}

std::shared_ptr<const outbound_request> gateway_process::counted_request(
    std::shared_ptr<const outbound_request> request, memory_account account)
{
    const std::size_t bytes =
        request->body.size() + request->header_lines.size();
    return counted(m_loop.memory, account, std::move(request), bytes);
}

// The bytes count until the last reference to the message is gone.
void gateway_process::count_answer(exchange_ended& ended)
{
    auto* answer = std::get_if<backend_answer>(&ended.result);
    if (answer != nullptr && answer->message != nullptr) {
        const std::size_t bytes =
            answer->message->body.size() + answer->message->header_lines.size();
        answer->message = counted(m_loop.memory, memory_account::parts,
                                  std::move(answer->message), bytes);
    }
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
    front_limits& limits = m_front_limits;
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
    review_limits();
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
    state.idle_server_connections = m_links.idle_connections();
    state.server_connections = m_links.counts();
    state.ready = ready();
    state.ready_seconds = m_gateway.startup().time_to(startup_step::ready);
    state.reaches_servers = m_gateway.reaches_servers(now);
    state.log_lines_dropped = m_log.lines_dropped();
    state.events = m_log.counts();
    state.memory = &m_loop.memory;
    state.closed = m_front.closed();
    state.descriptors = descriptors_in_use();
    state.open_server_connections = m_links.connections();
    state.max_caller_connections = m_front_limits.max_connections;
    return state;
}

bool gateway_process::ready() const
{
    return !m_stop && m_gateway.is_ready(m_clock.now());
}

} // namespace cranberrywood
