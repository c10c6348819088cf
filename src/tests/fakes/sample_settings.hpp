#ifndef CRANBERRYWOOD_TESTS_FAKES_SAMPLE_SETTINGS_HPP
#define CRANBERRYWOOD_TESTS_FAKES_SAMPLE_SETTINGS_HPP

#include "settings/settings.hpp"

#include <memory>

namespace cranberrywood::fakes {

/** Size of a generated fleet. */
struct sample_shape
{
    std::uint32_t data_centres = 2;
    std::uint32_t vms = 4;
    std::uint32_t shards = 4;
    std::uint32_t replicas = 2;
    std::uint32_t workspaces = 2;
    std::uint64_t rate_milli = 100000;
    std::uint64_t burst_milli = 50000;
};

/**
 * Builds settings of one service "search": VMs "vm-0"…, data centres
 * "dc-0"…, shards "s0"…, backend servers "s0-r0"…, workspaces "w0"… whose
 * keys are "key-w0"…. VM i and replica i stand in data centre i modulo their
 * count. Every shard has 1000 keys.
 */
settings sample_settings(const sample_shape& shape = {});

/** Same, with its index. */
std::shared_ptr<const settings_index>
sample_index(const sample_shape& shape = {});

} // namespace cranberrywood::fakes

#endif
