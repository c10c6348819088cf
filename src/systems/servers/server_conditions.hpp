#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_CONDITIONS_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_SERVER_CONDITIONS_HPP

#include "core/gateway_messages.hpp"
#include "systems/servers/limit_sharers.hpp"
#include "systems/servers/server_observation.hpp"

#include <unordered_map>
#include <vector>

namespace cranberrywood {

/**
 * Backend servers that are impaired: slow or failing for longer than a pause.
 * Evidence comes from the sends of this VM and of its peers. An impaired server
 * gets no first sends while others are better, except probes from a few VMs,
 * chosen by rendezvous hashing, until it has recovered.
 */
class server_conditions
{
public:
    /** The table and the directory must outlive this object. */
    server_conditions(const server_table& servers,
                      const member_directory& members);

    /** Records that a send of this VM was late or unsuccessful. */
    void observe(const server_observation& seen, time_point now,
                 gateway_commands& out);
    /** Records that a send of this VM was answered in the usual time. */
    void observe_normal(backend_server_id server, time_point sent_at,
                        time_point now, gateway_commands& out);

    /** Records late or unsuccessful sends of a peer. */
    void apply_remote(const std::vector<server_suspicion>& suspicions,
                      time_point now, gateway_commands& out);
    /** Applies the conditions that a peer reports. */
    void apply_remote(const std::vector<server_condition_report>& reports,
                      time_point now);

    bool is_impaired(backend_server_id server, time_point now) const;
    /** Returns the latency of an impaired server; 0 if it is not known. */
    duration latency(backend_server_id server) const;
    /** Returns whether an observation would help peers to tell a condition. */
    bool needs_evidence(const server_observation& seen) const;

    /** Returns whether this VM is to send a probe to an impaired server. */
    bool probe_due(backend_server_id server, time_point now);
    /** Records that a request was sent. */
    void record_sent(backend_server_id server, time_point now);

    /** Forgets a server that has started anew. */
    void forget(backend_server_id server);
    /** Ends conditions without recent evidence. */
    void drop_expired(time_point now, gateway_commands& out);

    /** Takes changes that the other VMs have to hear at once. */
    std::vector<server_condition_report> take_reports();
    /** Returns conditions and recoveries to repeat in a heartbeat, in turn. */
    std::vector<server_condition_report> reports_to_repeat(time_point now);

    std::size_t impaired_count() const
    {
        return m_impaired;
    }

private:
    struct state
    {
        /** Send times of the first and of the latest evidence. */
        time_point bad_since;
        time_point bad_last;
        /** Late sends that no pause explains. */
        std::uint32_t confirmations = 0;
        std::uint32_t failures = 0;
        /** Sends after the latest evidence that were answered as usual. */
        std::uint32_t normal_in_row = 0;
        time_point normal_last;
        duration latency{0};
        bool impaired = false;
        bool failing = false;
        time_point next_probe;
    };
    /** Changes learnt from peers since the last log line. */
    struct learnt_changes
    {
        std::uint32_t impaired = 0;
        std::uint32_t recovered = 0;
        std::uint32_t ignored = 0;
    };

    void add(const server_observation& seen, time_point now,
             gateway_commands& out);
    static void count_evidence(state& s, const server_observation& seen);
    void apply_report(const server_condition_report& report, time_point now);
    /** Counts a usual answer that a peer reports. */
    void apply_usual_answer(const server_condition_report& report,
                            time_point now);
    /** Counts a usual answer; returns whether the server has recovered. */
    static bool count_usual_answer(state& s, time_point sent_at,
                                   time_point now);
    void impair(state& s);
    /** Ends a condition; evidence up to the time given is settled by it. */
    void recover(backend_server_id server, time_point shown_at);
    /** Returns whether a recovery is known that the evidence precedes. */
    bool is_settled(backend_server_id server, time_point shown_at) const;
    static server_condition_report report_of(backend_server_id server,
                                             const state& s, time_point now);
    void log_change(backend_server_id server, const state& s, time_point now,
                    gateway_commands& out) const;
    void log_learnt(time_point now, gateway_commands& out);

    const server_table& m_servers;
    limit_sharers m_probers;
    std::unordered_map<backend_server_id, state> m_states;
    /** Send times of the answers that showed recent recoveries. */
    std::unordered_map<backend_server_id, time_point> m_recovered;
    std::vector<server_condition_report> m_news;
    std::size_t m_impaired = 0;
    std::size_t m_next_repeated = 0;
    learnt_changes m_learnt;
    time_point m_next_learnt_log;
};

} // namespace cranberrywood

#endif
