#ifndef CRANBERRYWOOD_CORE_RESULTS_HPP
#define CRANBERRYWOOD_CORE_RESULTS_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <string>
#include <variant>
#include <vector>

namespace cranberrywood {

/** Part of the request path at which an error arose. */
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

/** Returns the name of a step as it stands in answers and logs. */
const char* name_of(step s);

/** Reason of a refusal, as callers see it. */
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

/** Returns the name of a reason as it stands in answers and logs. */
const char* name_of(reason r);

/** What went wrong, at which step, and at which peer if one took part. */
struct error_detail
{
    step at = step::front;
    reason why = reason::malformed;
    /** VM at which it arose; unset when it arose in this process. */
    vm_id peer;
    /** Backend server at which it arose; unset when none took part. */
    backend_server_id backend_server;
    /** Request field at fault; empty when none is. */
    std::string field;
};

/** One match of a query. */
struct hit
{
    std::string key;
    double score = 0.0;
    std::string text;
};

/** Coverage of one shard's key range. Keys are counted, never rounded. */
struct shard_coverage
{
    shard_id shard;
    std::uint64_t first_key = 0;
    std::uint64_t last_key = 0;
    bool covered = false;
    /** The shard was left out by a legal rule and not by a failure. */
    bool left_out_by_rule = false;
};

/** What an answer covers: of one index version and one shard map. */
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

/** Refusal of a request of which the outcome at the server is unknown. */
struct outcome_unknown
{
    error_detail error;
};

/** Refusal of a request that was run, at least in part, and failed. */
struct failed
{
    error_detail error;
};

/**
 * Refusal of a request that no backend server was given any part of, neither
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
 * Proof that nothing of a request has been sent. It exists from admission to
 * the first send: send() ends it, and refusing after that gives
 * outcome_unknown in place of not_run.
 */
class unsent_proof
{
public:
    /** Marks that a part of the request leaves this process. */
    void send()
    {
        m_sent = true;
    }
    /** Marks that every receiver proved that it has started nothing. */
    void proved_not_started()
    {
        m_sent = false;
    }
    /** Returns whether the proof still holds. */
    bool holds() const
    {
        return !m_sent;
    }
    /** Builds the truest refusal that the proof allows. */
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

/** Everything that a caller can be told. */
using response = std::variant<answered, not_run, outcome_unknown, failed>;

/** Widens a refusal to a response. */
response to_response(std::variant<not_run, outcome_unknown> refusal);

} // namespace cranberrywood

#endif
