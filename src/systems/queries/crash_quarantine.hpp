#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_CRASH_QUARANTINE_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_CRASH_QUARANTINE_HPP

#include "core/gateway_messages.hpp"
#include "systems/queries/crash_evidence.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace cranberrywood {

/**
 * Refuses requests under which backend servers crash. A crash counts as another
 * strike if the request had been sent after the crash before it; servers that
 * crash together are one strike against what they had in common. From the
 * second strike on, a request is refused for a term that grows with each
 * strike. A request that completes is cleared of the crashes before.
 *
 * Crashes are sets that VMs merge, so a report may be lost, repeated or come by
 * several ways.
 */
class crash_quarantine
{
public:
    /** Records a crash that this VM observed. */
    void record_crash(const request_crash& crash, time_point now,
                      gateway_commands& out);
    /** Records that a service completed a request sent at a time. */
    void record_completion(fingerprint print, service_id service,
                           time_point sent_at, time_point now,
                           gateway_commands& out);

    /** Applies what a peer reported. */
    void apply_remote(const std::string& peer,
                      const std::vector<crash_report>& crashes,
                      const std::vector<crash_clearance>& clearances,
                      time_point now, gateway_commands& out);

    /** Returns how long a request is still refused; none if it is not. */
    std::optional<duration> refused_for(fingerprint print,
                                        time_point now) const;
    /** Returns whether a server has crashed under a request. */
    bool is_suspect(fingerprint print) const
    {
        return m_rows.count(print) != 0;
    }
    /** Returns whether a server of the service has crashed under it. */
    bool has_crashed(fingerprint print, service_id service) const;

    /** Takes crashes that the other VMs have to hear of at once. */
    std::vector<crash_report> take_reports(time_point now);
    std::vector<crash_clearance> take_clearances(time_point now);
    /** Returns crashes of refused requests for a heartbeat, in turn. */
    std::vector<crash_report> reports_to_repeat(time_point now);
    /** Returns recent clearances for a heartbeat. */
    std::vector<crash_clearance> clearances_to_repeat(time_point now) const;

    /** Forgets requests whose last crash was long ago. */
    void drop_expired(time_point now);

    std::size_t size() const
    {
        return m_rows.size();
    }

private:
    /** What is known of one request; crashes in the order of their times. */
    struct row
    {
        std::vector<request_crash> crashes;
        std::uint32_t strikes = 0;
        time_point refused_until;
    };
    struct clearance
    {
        fingerprint print;
        service_id service;
        time_point sent_at;
    };
    using row_table = std::map<fingerprint, row>;

    /** Adds a crash unless it is known; returns it if it is new. */
    const request_crash* add(const request_crash& crash,
                             const std::string& source, time_point now,
                             gateway_commands& out);
    /** Removes the crashes of a service up to a time; returns if any were. */
    bool clear(const clearance& cleared, const std::string& source,
               gateway_commands& out);
    bool is_cleared(const request_crash& crash) const;
    static void count_strikes(row& r);
    row& find_or_insert(fingerprint print);
    void evict_one();

    row_table m_rows;
    std::vector<request_crash> m_unreported;
    std::vector<clearance> m_unreported_clearances;
    /** Recent clearances: late reports of what they cover are dropped. */
    std::deque<clearance> m_cleared;
    fingerprint m_last_repeated;
};

} // namespace cranberrywood

#endif
