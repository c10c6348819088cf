#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_CRASH_EVIDENCE_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_CRASH_EVIDENCE_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <unordered_map>
#include <vector>

namespace cranberrywood {

/** A backend server crashed while it had a request. */
struct request_crash
{
    fingerprint print;
    backend_server_id server;
    service_id service;
    /** When the request was sent to the server, and when it was lost. */
    time_point sent_at;
    time_point lost_at;
    /** Number of the strike that it is, or belongs to; 0 before it is counted.
     */
    std::uint32_t strike = 0;
};

/**
 * Lost sends whose servers may have crashed. A lost connection alone proves
 * nothing: links break and answers get lost. A send counts as a crash once its
 * server refuses connections or is listed as started again, and is dropped once
 * the server answers a later send.
 */
class crash_evidence
{
public:
    /** Adds a send that was lost after it had been written. */
    void add(const request_crash& lost);

    /** The server's process is gone: returns the requests that it had. */
    std::vector<request_crash> take_crashes(backend_server_id server,
                                            time_point now);
    /** The server answered what was sent at a time: it lived until then. */
    void drop_before(backend_server_id server, time_point sent_at);

    /** Drops what has been undecided for long. */
    void drop_expired(time_point now);

    /** Returns whether sends to the server are undecided. */
    bool has(backend_server_id server) const
    {
        return m_lost.count(server) != 0;
    }

private:
    std::unordered_map<backend_server_id, std::vector<request_crash>> m_lost;
};

} // namespace cranberrywood

#endif
