#ifndef CRANBERRYWOOD_TABLES_QUERY_TABLE_HPP
#define CRANBERRYWOOD_TABLES_QUERY_TABLE_HPP

#include "core/admitted_request.hpp"

#include <unordered_map>

namespace cranberrywood {

/** One send of a shard's part to one backend server. */
struct shard_attempt
{
    sub_request_id id;
    backend_server_id backend_server;
    vm_id owner;
    time_point sent_at;
    /** No result has come yet. */
    bool open = true;
};

/** One shard's part of a query. */
struct query_shard_row
{
    shard_id shard;
    key_range keys;
    bool covered = false;
    bool left_out_by_rule = false;
    /** Time of the next attempt after a failure; unset when none waits. */
    std::optional<time_point> retry_at;
    std::vector<shard_attempt> attempts;

    /** Returns whether the shard needs no more work. */
    bool settled() const
    {
        return covered || left_out_by_rule;
    }
    /** Returns whether a result can still come. */
    bool has_open_attempt() const;
};

/** A query that this VM coordinates for a caller. */
struct query_row
{
    query_id id;
    admitted_request request;
    shard_map_version map;
    /** The one index version that the answer is made of. */
    index_version index;
    unsent_proof proof;
    /** Attempts that have not been proved not started. */
    std::uint32_t unproved_attempts = 0;
    /** Shards that are neither covered nor left out. */
    std::size_t unsettled = 0;
    bool restarted = false;
    error_detail last_error;
    std::vector<query_shard_row> shards;
    std::vector<hit> hits;
    /** Shard and attempt of each send. */
    std::unordered_map<sub_request_id, std::size_t> shard_of;

    /** Returns what the answer covers at this moment. */
    coverage covers() const;
};

/** The queries that this VM coordinates, by id and by waiting caller. */
class query_table
{
public:
    /** Adds a row; its id and its caller's token must be new. */
    query_row& add(query_row row);
    /** Returns the row of an id, or null. */
    query_row* find(query_id id);
    /** Returns the row of a caller, or null. */
    query_row* find(caller_token token);
    /** Gives a row a new id, so that replies to the old one find nothing. */
    query_row& renumber(query_id from, query_id to);
    /** Removes a row. */
    void remove(query_id id);
    std::size_t size() const
    {
        return m_rows.size();
    }
    /** Calls a function with each row. */
    template <class Visitor>
    void for_each(Visitor visit)
    {
        for (auto& [id, row] : m_rows) {
            visit(row);
        }
    }

private:
    std::unordered_map<query_id, query_row> m_rows;
    std::unordered_map<caller_token, query_id> m_by_caller;
};

} // namespace cranberrywood

#endif
