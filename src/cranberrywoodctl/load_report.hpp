#ifndef CRANBERRYWOOD_CRANBERRYWOODCTL_LOAD_REPORT_HPP
#define CRANBERRYWOOD_CRANBERRYWOODCTL_LOAD_REPORT_HPP

#include "cranberrywoodctl/vm_client.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cranberrywood::ctl {

/** Results of the requests of a load run. One thread at a time. */
class load_report
{
public:
    /** Adds a request; latency counts from when it was due. */
    void add(const vm_result& result, std::chrono::microseconds latency);

    /** Adds all requests of another report. */
    void add(const load_report& other);

    /** Returns the number of requests that ended. */
    std::uint64_t requests() const
    {
        return m_requests;
    }
    /** Returns the number of answered requests. */
    std::uint64_t answered() const
    {
        return m_latencies.size();
    }
    /** Returns the latency that a share of the answers did not exceed. */
    std::chrono::microseconds quantile(double share) const;

    /** Returns the report as text for people. */
    std::string text(std::chrono::duration<double> took) const;

    /** Returns the report as JSON text. */
    std::string json_text(std::chrono::duration<double> took) const;

private:
    void add_answer(const vm_answer& answer, std::chrono::microseconds latency);
    void add_body(const nlohmann::json& body,
                  std::chrono::microseconds latency);

    std::uint64_t m_requests = 0;
    std::uint64_t m_whole = 0;
    std::uint64_t m_covered_keys = 0;
    std::uint64_t m_total_keys = 0;
    /** Refusals by outcome and reason. */
    std::map<std::string, std::uint64_t> m_refusals;
    std::vector<std::chrono::microseconds> m_latencies;
};

} // namespace cranberrywood::ctl

#endif
