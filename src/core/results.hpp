#ifndef CRANBERRYWOOD_CORE_RESULTS_HPP
#define CRANBERRYWOOD_CORE_RESULTS_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <string>
#include <variant>
#include <vector>

namespace cranberrywood {

/** Stage of request processing at which an error occurred. */
enum class step : std::uint8_t
{
    front,
    admission,
    rights,
    rate,
    quarantine,
    queue,
    routing,
    owner,
    id_owner,
    backend_server,
    merge,
    shutdown,
};

/** Returns the name of a step as used in answers and logs. */
const char* name_of(step s);

/** Reason for a refusal, as reported to callers. */
enum class reason : std::uint8_t
{
    malformed,
    key_missing,
    key_unknown,
    workspace_not_allowed,
    service_unknown,
    deadline_invalid,
    rule_refused,
    over_rate,
    overloaded,
    quarantined,
    view_unconfirmed,
    not_ready,
    shutting_down,
    deadline_passed,
    no_owner,
    link_lost,
    server_failed,
    id_unknown_after_takeover,
    caller_gone,
};

/** Returns the name of a reason as used in answers and logs. */
const char* name_of(reason r);

/** Reason for an error, the step, and the peer or server involved, if any. */
struct error_detail
{
    step at = step::front;
    reason why = reason::malformed;
    /** VM at which the error occurred; unset if in this process. */
    vm_id peer;
    /** Backend server at which the error occurred; unset if none. */
    backend_server_id backend_server;
    /** Invalid request field; empty if none. */
    std::string field;
};

/** One match of a query. */
struct hit
{
    std::string key;
    double score = 0.0;
    std::string text;
};

/** Coverage of one shard's key range. Key counts are exact. */
struct shard_coverage
{
    shard_id shard;
    std::uint64_t first_key = 0;
    std::uint64_t last_key = 0;
    bool covered = false;
    /** The shard was left out by a legal rule, not because of a failure. */
    bool left_out_by_rule = false;
};

/** Keys covered by an answer, for one index version and one shard map. */
struct coverage
{
    shard_map_version map;
    index_version index;
    std::uint64_t covered_keys = 0;
    std::uint64_t total_keys = 0;
    std::vector<shard_coverage> shards;

    /** Returns whether every key of the service is covered. */
    bool whole() const
    {
        return covered_keys == total_keys;
    }
};

/** Answer with the hits of all covered shards. */
struct answered
{
    std::vector<hit> hits;
    coverage covers;
};

/** Refusal of a request whose outcome at the server is unknown. */
struct outcome_unknown
{
    error_detail error;
};

/** Refusal of a request that was at least partly run and failed. */
struct failed
{
    error_detail error;
};

/**
 * Refusal of a request of which no part was sent to a backend server, neither
 * now nor earlier under its request id. Only unsent_proof builds it.
 */
class not_run
{
public:
    /** Returns the reason of the refusal. */
    const error_detail& error() const
    {
        return m_error;
    }

private:
    friend class unsent_proof;
    explicit not_run(error_detail error) : m_error(std::move(error)) {}
    error_detail m_error;
};

/**
 * Tracks whether any part of a request has been sent. After send(), a refusal
 * is outcome_unknown rather than not_run, until every receiver proves that it
 * did not start the request.
 */
class unsent_proof
{
public:
    /** Records that a part of the request is sent. */
    void send()
    {
        m_sent = true;
    }
    /** Records that every receiver proved that it started nothing. */
    void proved_not_started()
    {
        m_sent = false;
    }
    /** Returns whether nothing of the request was sent or started. */
    bool holds() const
    {
        return !m_sent;
    }
    /** Returns not_run if the proof holds, otherwise outcome_unknown. */
    std::variant<not_run, outcome_unknown> refuse(error_detail error) const
    {
        if (m_sent) {
            return outcome_unknown{std::move(error)};
        }
        return not_run(std::move(error));
    }

private:
    bool m_sent = false;
};

/** Response to a caller. */
using response = std::variant<answered, not_run, outcome_unknown, failed>;

/** Converts a refusal to a response. */
response to_response(std::variant<not_run, outcome_unknown> refusal);

} // namespace cranberrywood

#endif
