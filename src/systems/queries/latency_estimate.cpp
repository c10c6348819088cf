#include "systems/queries/latency_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace cranberrywood {

namespace {

constexpr duration halve_every = std::chrono::seconds(1);
constexpr std::uint64_t min_samples = 50;

// A service with few requests keeps old samples instead of losing its estimate.
constexpr std::uint64_t min_samples_to_halve = 4 * min_samples;

// Lower bound of the first bucket; the last one ends 24 octaves above.
constexpr duration first_bucket = std::chrono::microseconds(16);

} // namespace

template <class Key>
void latency_histograms<Key>::observe(Key key, duration latency, time_point now)
{
    histogram& h = m_histograms[key];
    if (h.total == 0) {
        h.halved_at = now;
    }
    if (now - h.halved_at >= halve_every && h.total >= min_samples_to_halve) {
        halve(h);
        h.halved_at = now;
    }
    ++h.samples[bucket_of(latency)];
    ++h.total;
}

template <class Key>
std::optional<duration> latency_histograms<Key>::quantile(Key key,
                                                          double q) const
{
    const auto found = m_histograms.find(key);
    if (found == m_histograms.end() || found->second.total < min_samples) {
        return std::nullopt;
    }
    const histogram& h = found->second;
    const auto wanted = static_cast<std::uint64_t>(
        std::ceil(std::clamp(q, 0.0, 1.0) * static_cast<double>(h.total)));
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        below += h.samples[i];
        if (below >= std::max<std::uint64_t>(wanted, 1)) {
            return upper_end(i);
        }
    }
    return upper_end(bucket_count - 1);
}

// Computes the bucket from the bits of the scaled latency, without a logarithm:
// the position of the top bit is the octave, and the next three bits select the
// bucket within it.
template <class Key>
std::size_t latency_histograms<Key>::bucket_of(duration latency)
{
    constexpr std::uint64_t scale = buckets_per_octave;
    const auto scaled =
        static_cast<std::uint64_t>(std::max<duration::rep>(latency.count(), 0) *
                                   scale / first_bucket.count());
    if (scaled < scale) {
        return 0;
    }
    std::uint64_t rest = scaled;
    std::size_t octave = 0;
    while (rest >= 2 * scale) {
        rest >>= 1U;
        ++octave;
    }
    const std::size_t bucket = octave * scale + (rest - scale);
    return std::min(bucket, bucket_count - 1);
}

template <class Key>
duration latency_histograms<Key>::upper_end(std::size_t bucket)
{
    const std::size_t octave = bucket / buckets_per_octave;
    const auto part = static_cast<duration::rep>(bucket % buckets_per_octave);
    constexpr auto parts = static_cast<duration::rep>(buckets_per_octave);
    const duration octave_start = first_bucket * (duration::rep(1) << octave);
    return octave_start + octave_start * (part + 1) / parts;
}

template <class Key>
void latency_histograms<Key>::halve(histogram& h)
{
    h.total = 0;
    for (auto& samples : h.samples) {
        samples /= 2;
        h.total += samples;
    }
}

template class latency_histograms<service_id>;
template class latency_histograms<route_id>;

} // namespace cranberrywood
