#ifndef CRANBERRYWOOD_LOOP_GATEWAY_PROCESS_HPP
#define CRANBERRYWOOD_LOOP_GATEWAY_PROCESS_HPP

#include "core/gateway.hpp"
#include "loop/backend_links.hpp"
#include "loop/boot_clock.hpp"
#include "loop/caller_front.hpp"
#include "loop/control_front.hpp"
#include "loop/descriptor_budget.hpp"
#include "loop/event_log.hpp"
#include "loop/gateway_file.hpp"
#include "loop/gateway_metrics.hpp"
#include "loop/loop_lag.hpp"
#include "loop/peer_socket.hpp"
#include "loop/relay_links.hpp"
#include "loop/stop_schedule.hpp"
#include "loop/store_source.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace cranberrywood {

/**
 * One VM's process: joins the gateway's decisions with callers, backend
 * servers and the store on one event loop.
 */
class gateway_process : public request_handler, public exchange_handler
{
public:
    gateway_process(gateway_file file, const platform_adapter& adapter,
                    event_log& log);

    /** Serves until a signal asks to stop; returns the exit status. */
    int run();

    void request_read(caller_token token, http_request request,
                      duration network_time) override;
    void caller_closed(caller_token token) override;
    void bytes_refused(unsigned status) override;
    http_answer_text refuse_for_memory() override;
    void slow_reader_dropped(std::size_t held_bytes, duration stalled) override;

    answer_match match(const http_response& response,
                       const std::string& request_id) const override;
    void exchange_answered(exchange_id exchange,
                           http_response response) override;
    void exchange_failed(exchange_id exchange, exchange_fault fault) override;
    void server_probed(backend_server_id server, probe_result result) override;

private:
    bool listen();
    void relay_asked(caller_token token, const std::string& body);
    void handle(const gateway_event& event);
    void carry_out(const gateway_commands& commands);
    void plan_wakeup();
    void sweep();
    duration next_sweep() const;
    void wait_for_signals();
    void begin_stop();
    /** Does what is due of a stop; returns whether the process ends now. */
    bool continue_stop(time_point now);
    bool ready() const;
    gateway_state state() const;
    void settings_changed();
    void apply_limits();
    std::shared_ptr<const outbound_request>
    counted_request(std::shared_ptr<const outbound_request> request,
                    memory_account account);
    void count_answer(exchange_ended& ended);
    void pressure_changed();
    void relieve_memory();
    void report_pressure();
    void review_limits();

    gateway_file m_file;
    const platform_adapter& m_adapter;
    event_log& m_log;
    gateway_metrics m_metrics;
    boost::asio::io_context m_io;
    boot_clock m_clock;
    loop_context m_loop;
    seeded_random m_random;
    gateway m_gateway;
    store_source m_store;
    caller_front m_front;
    control_front m_ready_front;
    control_front m_control_front;
    backend_links m_links;
    relay_links m_relay_links;
    peer_socket m_peers;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_sweep_timer;
    boost::asio::signal_set m_signals;
    std::optional<time_point> m_wakeup;
    time_point m_wakeup_planned;
    loop_lag m_lag;
    std::optional<stop_schedule> m_stop;
    bool m_accepting = true;
    std::uint64_t m_version = 0;
    front_limits m_front_limits;
    memory_pressure m_reported_pressure = memory_pressure::none;
    bool m_pressure_posted = false;
    bool m_reported_full = false;
};

} // namespace cranberrywood

#endif
