#ifndef CRANBERRYWOOD_SETTINGS_SHARD_SPLIT_HPP
#define CRANBERRYWOOD_SETTINGS_SHARD_SPLIT_HPP

#include "settings/section_keys.hpp"

namespace cranberrywood {

/** A shard of a plan and the backend servers that hold it. */
struct planned_shard
{
    shard_settings shard;
    std::vector<backend_server_settings> replicas;
};

/** Returns why a plan cannot be carried out, if it cannot. */
std::optional<std::string> check_plan(const shard_plan& plan);

/**
 * Splits a plan's keys evenly over its shards and places the replicas. The
 * first shards get one key more when the keys do not divide evenly.
 */
std::vector<planned_shard> split_shards(const shard_plan& plan);

} // namespace cranberrywood

#endif
