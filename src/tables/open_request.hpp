#ifndef CRANBERRYWOOD_TABLES_OPEN_REQUEST_HPP
#define CRANBERRYWOOD_TABLES_OPEN_REQUEST_HPP

#include "core/gateway_messages.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cranberrywood {

/** One send of a call to a backend server. */
struct call_send
{
    exchange_id exchange;
    backend_server_id server;
    time_point at;
    /** Neither answered nor given up. */
    bool open = true;
    /** The server cannot have run the request. */
    bool not_run = false;
    /** Nothing of the request was written to the server. */
    bool unsent = false;
    /** It was written and its connection was lost. */
    bool lost = false;
    /** It was late enough to make its server suspect. */
    bool made_suspect = false;
};

enum class call_state : std::uint8_t
{
    /** No send is open; the call waits for room at a backend server. */
    waiting,
    /** At least one send is open. */
    sent,
    answered,
    failed,
};

/** What a request asks of one service. */
struct service_call
{
    service_id service;
    call_state state = call_state::waiting;
    std::vector<call_send> sends;
    /** Not sent before another call of the request has shown to be harmless. */
    bool held = false;
    /** When a server of the service takes requests again, if none does now. */
    std::optional<time_point> reopens_at;
    /** Time before which no hedge is tried; set after one that had to wait. */
    time_point no_hedge_before;
    /** Answer that the caller gets: a success, or the last failure. */
    std::optional<backend_answer> answer;

    bool done() const
    {
        return state == call_state::answered || state == call_state::failed;
    }
    bool has_open_send() const
    {
        for (const call_send& send : sends) {
            if (send.open) {
                return true;
            }
        }
        return false;
    }
    std::uint32_t lost_sends() const
    {
        std::uint32_t lost = 0;
        for (const call_send& send : sends) {
            lost += send.lost ? 1 : 0;
        }
        return lost;
    }
    /** Returns whether a backend server may have run the request. */
    bool may_have_run() const
    {
        for (const call_send& send : sends) {
            if (!send.not_run) {
                return true;
            }
        }
        return false;
    }
    /** Returns whether a backend server may have got the request. */
    bool may_have_arrived() const
    {
        for (const call_send& send : sends) {
            if (!send.unsent) {
                return true;
            }
        }
        return false;
    }
    /** Returns how many backend servers the request may have run on. */
    std::uint32_t counted_sends() const
    {
        std::uint32_t counted = 0;
        for (const call_send& send : sends) {
            counted += send.not_run ? 0 : 1;
        }
        return counted;
    }
};

/** Table row: a caller's request that is not answered yet. */
struct open_request
{
    caller_token token;
    std::shared_ptr<const outbound_request> outbound;
    /** Equal for all attempts of one request by one workspace. */
    fingerprint print;
    /** A server had crashed under an equal request when it was admitted. */
    bool suspect = false;
    std::shared_ptr<const route> terms;
    workspace_id workspace;
    std::string workspace_name;
    std::uint32_t priority = 0;
    time_point arrived;
    time_point deadline;
    /** Time up to which an answer is worth its full value. */
    time_point answer_at;
    /** The deadline was moved forward because this VM stops. */
    bool limited_by_stop = false;
    /** One call, or one for each shard. */
    std::vector<service_call> calls;

    /** Moves the deadline forward to the time at which this VM stops. */
    void limit_deadline(time_point latest)
    {
        if (latest < deadline) {
            deadline = latest;
            answer_at = std::min(answer_at, latest);
            limited_by_stop = true;
        }
    }
};

/** Names one call of an open request. */
struct call_ref
{
    caller_token request;
    std::uint32_t call = 0;
};

using open_requests =
    std::unordered_map<caller_token, std::unique_ptr<open_request>>;

} // namespace cranberrywood

#endif
