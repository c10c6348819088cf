#ifndef CRANBERRYWOOD_SYSTEMS_QUERIES_LATENCY_ESTIMATE_HPP
#define CRANBERRYWOOD_SYSTEMS_QUERIES_LATENCY_ESTIMATE_HPP

#include "units/ids.hpp"
#include "units/time.hpp"

#include <array>
#include <optional>
#include <unordered_map>

namespace cranberrywood {

/**
 * Latency histograms of sub-requests, one per key: a service, or a route whose
 * shards have similar latencies. Sample counts are halved at fixed intervals,
 * so that the quantiles track recent latencies.
 */
template <class Key>
class latency_histograms
{
public:
    /** Records the latency of a completed sub-request. */
    void observe(Key key, duration latency, time_point now);

    /**
     * Returns the q-quantile of a key, for q in [0, 1], as the upper bound of
     * its histogram bucket; nullopt while there are too few samples.
     */
    std::optional<duration> quantile(Key key, double q) const;

private:
    // Buckets per power of two; the upper bound of a bucket exceeds its lower
    // bound by at most an eighth.
    static constexpr std::size_t buckets_per_octave = 8;
    static constexpr std::size_t octaves = 24;
    static constexpr std::size_t bucket_count = buckets_per_octave * octaves;

    struct histogram
    {
        std::array<std::uint32_t, bucket_count> samples{};
        std::uint64_t total = 0;
        time_point halved_at;
    };

    static std::size_t bucket_of(duration latency);
    static duration upper_end(std::size_t bucket);
    static void halve(histogram& h);

    std::unordered_map<Key, histogram> m_histograms;
};

extern template class latency_histograms<service_id>;
extern template class latency_histograms<route_id>;

using latency_estimate = latency_histograms<service_id>;
using route_latency_estimate = latency_histograms<route_id>;

} // namespace cranberrywood

#endif
