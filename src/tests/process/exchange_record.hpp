#ifndef CRANBERRYWOOD_TESTS_PROCESS_EXCHANGE_RECORD_HPP
#define CRANBERRYWOOD_TESTS_PROCESS_EXCHANGE_RECORD_HPP

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cranberrywood::tests {

using steady_time = std::chrono::steady_clock::time_point;

/** What backend servers saw of one request. */
struct server_side
{
    std::vector<std::string> servers;
    unsigned answered = 0;
    /** Connections that ended while the request was at work. */
    unsigned given_up = 0;
};

/** What backend servers saw, by request id. Used by many threads. */
class exchange_record
{
public:
    void arrived(const std::string& id, const std::string& server)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_requests[id].servers.push_back(server);
    }
    void answered(const std::string& id)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_requests[id].answered;
    }
    void given_up(const std::string& id)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_requests[id].given_up;
    }
    server_side of(const std::string& id)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_requests.find(id);
        return found == m_requests.end() ? server_side() : found->second;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, server_side> m_requests;
};

} // namespace cranberrywood::tests

#endif
