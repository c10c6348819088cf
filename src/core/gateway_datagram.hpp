#ifndef CRANBERRYWOOD_CORE_GATEWAY_DATAGRAM_HPP
#define CRANBERRYWOOD_CORE_GATEWAY_DATAGRAM_HPP

#include "units/endpoint.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

/** Datagrams between the gateways of a fleet; any of them may be lost. */
namespace cranberrywood {

/** Another VM that is known to the sender. */
struct member_hint
{
    /** `host:port` on which the VM receives datagrams. */
    std::string address;
    /** Time since the sender or one of its peers last heard from the VM. */
    duration age{0};
};

/** Asks for tokens of a workspace's rate. */
struct token_ask
{
    /** Sequence number of the ask; echoed in the grant. */
    std::uint64_t ask = 0;
    workspace_id workspace;
    std::uint64_t tokens = 0;
};

/** Lends tokens, possibly none; they expire `term` after the ask was sent. */
struct token_grant
{
    std::uint64_t ask = 0;
    workspace_id workspace;
    std::uint64_t tokens = 0;
    duration term{0};
};

/** Reason for which a server is suspected. */
enum class suspicion_cause : std::uint8_t
{
    /** A request is unanswered for longer than usual. */
    late,
    /** It refused a request without running it. */
    refused,
    /** A request or the connection to it failed. */
    failed,
};

/** Reports a backend server that is late, refuses or fails. */
struct server_suspicion
{
    backend_server_id server;
    /** Time for which the server gets no first sends. */
    duration term{0};
    suspicion_cause cause = suspicion_cause::late;
    /** Time since the send that showed it; 0 from VMs of earlier versions. */
    duration sent_age{0};
};

/** Reports that a backend server is impaired, or has recovered. */
struct server_condition_report
{
    backend_server_id server;
    bool impaired = false;
    /** It fails requests or loses answers. */
    bool failing = false;
    /** Time in which it answers; 0 if not known. */
    duration latency{0};
    /** Time since the send that showed it. */
    duration age{0};
    /** One usual answer of an impaired server; others may have to follow. */
    bool usual_answer = false;
};

/** Reports how many requests a second a server takes from all VMs. */
struct server_limit_report
{
    backend_server_id server;
    /** False: the server limits requests no longer. */
    bool limited = false;
    /** Thousandths of a request a second. */
    std::uint64_t milli_per_second = 0;
    /** Time since the server said so. */
    duration age{0};
};

/** Reports that a backend server crashed while it had a request. */
struct crash_report
{
    fingerprint print;
    backend_server_id server;
    service_id service;
    /** Time since the request was sent to the server. */
    duration sent_age{0};
    /** Time since the server crashed. */
    duration lost_age{0};
    /** Number of the strike that it is to the sender. */
    std::uint32_t strike = 0;
};

/** Reports that a service completed a request that was suspect. */
struct crash_clearance
{
    fingerprint print;
    service_id service;
    /** Time since the request was sent. */
    duration sent_age{0};
};

/** One datagram between two gateways. */
struct gateway_datagram
{
    incarnation process;
    /** Number of VMs known to the sender, including itself. */
    std::uint32_t fleet_size = 1;
    /** The sender has run long enough to have discovered the fleet. */
    bool settled = false;
    /** VMs that hold slices of limits may be out of the sender's sight. */
    bool fleet_unconfirmed = false;
    /** Data centre of the sender; unset from VMs of earlier versions. */
    data_centre_id data_centre;
    /** The sender relays exchanges for VMs without links to servers. */
    bool accepts_relays = false;
    /** Version of the configuration that the sender has in force; 0: none. */
    std::uint64_t settings_version = 0;
    std::vector<member_hint> members;
    std::vector<token_ask> asks;
    std::vector<token_grant> grants;
    std::vector<server_suspicion> suspicions;
    std::vector<server_condition_report> conditions;
    std::vector<server_limit_report> limits;
    std::vector<crash_report> crashes;
    std::vector<crash_clearance> clearances;

    bool is_heartbeat() const
    {
        return asks.empty() && grants.empty() && suspicions.empty() &&
               conditions.empty();
    }
};

} // namespace cranberrywood

#endif
