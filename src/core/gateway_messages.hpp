#ifndef CRANBERRYWOOD_CORE_GATEWAY_MESSAGES_HPP
#define CRANBERRYWOOD_CORE_GATEWAY_MESSAGES_HPP

#include "core/gateway_datagram.hpp"
#include "core/relay_messages.hpp"
#include "tables/backend_server_entry.hpp"
#include "tables/catalogue.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** Events that a gateway handles and commands that it returns. */
namespace cranberrywood {

/** A caller's request as forwarded to backend servers, without its key. */
struct outbound_request
{
    /** The caller's id of this attempt; backend servers echo it. */
    std::string id;
    std::string method;
    std::string target;
    /** Forwarded header lines, each terminated by CR LF. */
    std::string header_lines;
    std::string body;
};

/** A caller sent a request. The key is not sent beyond the gateway. */
struct request_received
{
    caller_token token;
    std::string host;
    /** Request target without its query string. */
    std::string path;
    /** Key as presented; empty when the caller sent none. */
    std::string key;
    /** Longest time that the caller waits. */
    duration deadline{0};
    /** Time at which the request was read. */
    time_point arrived;
    std::shared_ptr<const outbound_request> outbound;
    /**
     * Time that the request has spent and its answer will spend on the way
     * between the caller and this VM, connection set-up included.
     */
    duration network_time{0};
};

/** A caller closed its connection before it was answered. */
struct caller_disconnected
{
    caller_token token;
};

/** Response of a backend server as forwarded to a caller. */
struct relayed_message
{
    unsigned status = 0;
    /** Forwarded header lines, each terminated by CR LF. */
    std::string header_lines;
    std::string body;
};

/** A complete response of a backend server. */
struct backend_answer
{
    unsigned status = 0;
    /** The server states that it did not run the request. */
    bool not_run = false;
    /** A process other than the expected server answered at its address. */
    bool misdirected = false;
    /** The server is leaving and wants no new requests. */
    bool leaving = false;
    /** Receipt of a server that ran the request; empty otherwise. */
    std::string receipt;
    /** Remaining warm-up time of the server, if it reports one. */
    std::optional<duration> cold_remaining;
    /** Time for which the server wants no request from this VM. */
    std::optional<duration> retry_after;
    /** Requests a second that the server takes from all VMs, if it limits them.
     */
    std::optional<double> limit;
    std::shared_ptr<const relayed_message> message;

    bool success() const
    {
        return status >= 200 && status < 300 && !receipt.empty();
    }
};

/** Why an exchange ended without an answer. */
enum class exchange_fault : std::uint8_t
{
    /** The connection could not be set up; nothing was written. */
    not_connected,
    /** No process listens at the address; nothing was written. */
    connection_refused,
    /** The connection was lost after at least a part was written. */
    connection_lost,
    /** A reused idle connection was lost before any answer arrived. */
    kept_connection_lost,
    /** The bytes received are not a valid answer to this request. */
    invalid_answer,
    /** The peer that was asked to relay it did not; nothing was written. */
    declined,
    /**
     * A new connection was reset at once, before any answer: the server is over
     * its limit of connections. The request may have run.
     */
    over_connection_limit,
};

struct exchange_failure
{
    exchange_fault fault = exchange_fault::connection_lost;
};

/** Returns whether a fault proves that nothing reached the server. */
bool nothing_written(exchange_fault fault);

/** An exchange ended. */
struct exchange_ended
{
    exchange_id exchange;
    std::variant<backend_answer, exchange_failure> result;
    /** Server that a peer chose; unset if this VM sent it, or if none is known.
     */
    backend_server_id server{};
};

/** A peer without links to servers asks to relay an exchange. */
struct relay_requested
{
    relay_token token;
    relay_request request;
};

/** This VM has begun to stop: it relays nothing more for peers. */
struct vm_leaving
{
    /**
     * From then on, a request is refused if it may take until after
     * `answer_by`.
     */
    time_point refuse_from = time_point::max();
    /** Time by which all requests are answered. */
    time_point answer_by = time_point::max();
};

/** A peer no longer needs the answer to an exchange that it asked for. */
struct relay_withdrawn
{
    relay_token token;
};

/** What became of an attempt to connect to a backend server. */
enum class probe_result : std::uint8_t
{
    /** The connection is open and is kept for the next exchange. */
    accepted,
    /** No process listens at the address. */
    refused,
    /** There was no answer in time. */
    unreachable,
};

/** A probe of a backend server ended. */
struct server_probed
{
    backend_server_id server;
    probe_result result = probe_result::unreachable;
};

/** A version of the operator's configuration was read. */
struct catalogue_read
{
    std::shared_ptr<const catalogue> read;
};

/** Backend server entries; a whole list replaces all earlier entries. */
struct servers_reported
{
    std::vector<backend_server_entry> entries;
    bool whole_list = false;
};

/** A backend server's entry was removed from the platform's list. */
struct server_unlisted
{
    backend_server_id server;
};

/** All data centres that operators have taken out of service. */
struct evacuations_read
{
    std::vector<data_centre_id> data_centres;
};

/** The platform's store became reachable or unreachable. */
struct store_reachability_changed
{
    bool reachable = false;
};

/**
 * A linearizable read of the store, by this VM or by a reader, has confirmed
 * the state that this VM knows.
 */
struct store_state_confirmed
{
};

/** The platform's store was restored from an older copy. */
struct store_restored
{
};

/** A datagram from another gateway. */
struct datagram_received
{
    /** `host:port` of the sender. */
    std::string from;
    gateway_datagram datagram;
};

using gateway_event =
    std::variant<request_received, caller_disconnected, exchange_ended,
                 server_probed, catalogue_read, servers_reported,
                 server_unlisted, evacuations_read, store_reachability_changed,
                 store_state_confirmed, store_restored, datagram_received,
                 relay_requested, relay_withdrawn, vm_leaving>;

/** What becomes of a connection once its answer has been read. */
struct connection_keep
{
    /** Time for which it may be idle, if the server keeps it for as long. */
    duration idle = duration::max();
    /** Most idle connections of this VM to the server. */
    std::uint32_t most = ~0U;
};

/** Send a request to a backend server. */
struct start_exchange
{
    exchange_id exchange;
    backend_server_id server;
    endpoint address;
    /** Server name that the process at the address must report. */
    std::string server_name;
    /** Name of the caller's workspace; empty on open routes. */
    std::string workspace;
    /** Time left for the server to answer. */
    duration deadline{0};
    bool repeatable = false;
    std::shared_ptr<const outbound_request> request;
    connection_keep keep{};
};

/** Ask a peer to relay an exchange. */
struct start_relay
{
    exchange_id exchange;
    /** `host:port` at which the peer receives datagrams. */
    std::string peer;
    relay_request request;
};

/** Tell a peer how the exchange that it asked for ended. */
struct answer_relay
{
    relay_token token;
    exchange_ended ended;
};

/** Cancel an exchange and close its connection. */
struct cancel_exchange
{
    exchange_id exchange;
};

/** Open a connection to a backend server, to see whether its process runs. */
struct probe_server
{
    backend_server_id server;
    endpoint address;
};

/** Forwards a backend server's answer unchanged. */
struct relayed_answer
{
    std::string receipt;
    std::shared_ptr<const relayed_message> message;
};

/** Merged answer of several shards. */
struct gathered_answer
{
    std::vector<std::string> receipts;
    std::uint32_t missing = 0;
    std::string records;
};

/** Why a request was not run, as determined by the gateway alone. */
enum class refusal_reason : std::uint8_t
{
    not_ready,
    route_unknown,
    key_unknown,
    over_rate,
    overloaded,
    no_server,
    crashes_servers,
    /** The VM stops before the request would be answered. */
    vm_stops,
};

/** The request was not run and will not be. */
struct refused_answer
{
    refusal_reason why = refusal_reason::overloaded;
    std::optional<duration> retry_after;
};

/** Why a request that may have been run has no answer. */
enum class failure_reason : std::uint8_t
{
    timed_out,
    backend_failed,
    too_few_parts,
};

struct failed_answer
{
    failure_reason why = failure_reason::backend_failed;
};

using gateway_answer = std::variant<relayed_answer, gathered_answer,
                                    refused_answer, failed_answer>;

/** Answer a waiting caller. */
struct answer_to_caller
{
    caller_token token;
    gateway_answer answer;
};

/** Send a datagram to another gateway; it may be lost. */
struct send_datagram
{
    std::string to;
    gateway_datagram datagram;
};

/** Write a numbered event to the log; docs/EVENTS.md lists the codes. */
struct gateway_log
{
    std::uint32_t code = 0;
    std::string text;
};

using gateway_command =
    std::variant<start_exchange, start_relay, answer_relay, cancel_exchange,
                 probe_server, answer_to_caller, send_datagram, gateway_log>;

/** Commands in the order in which they are to be carried out. */
using gateway_commands = std::vector<gateway_command>;

/** Returns the name used in logs and metrics. */
const char* name_of(refusal_reason why);
const char* name_of(failure_reason why);
const char* name_of(exchange_fault fault);

} // namespace cranberrywood

#endif
