#ifndef CRANBERRYWOOD_SYSTEMS_STORE_STORE_READERS_HPP
#define CRANBERRYWOOD_SYSTEMS_STORE_STORE_READERS_HPP

#include "systems/members/member_directory.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberrywood {

/** Why a reader could not be followed. */
enum class reader_fault : std::uint8_t
{
    unreachable,
    /** It answers, but the store does not answer it. */
    store_unreachable,
};

/**
 * Decides whether this VM reads the store itself or follows one that does.
 * In a small fleet every VM reads; in a large one the first few of the live
 * VMs by rendezvous hashing do, and the others follow one of them each. When
 * readers fail, a VM tries the store itself; while that fails too, it asks
 * readers again, and not the store.
 */
class store_readers
{
public:
    /** The directory must outlive this. */
    explicit store_readers(const member_directory& members);

    /**
     * Returns whether the VM has to wait: it has just started and does not
     * know the fleet yet, or neither the readers nor the store can be had.
     */
    bool must_wait(time_point now) const;

    /** Returns whom to follow; nothing: read the store. */
    std::optional<std::string> source(time_point now);

    /** The VM that is followed cannot be followed any more. */
    void failed(reader_fault why, time_point now);
    /** The store did not answer this VM. */
    void store_failed(time_point now);

private:
    struct failure_record
    {
        duration avoid{0};
        time_point avoided_until;
    };

    void try_store(time_point now);
    std::vector<std::string> live_candidates(time_point now) const;
    std::optional<std::string> choose(const std::vector<std::string>& live,
                                      time_point now) const;

    const member_directory& m_members;
    std::map<std::string, failure_record> m_failures;
    std::optional<std::string> m_followed;
    time_point m_last_failure;
    time_point m_reads_until;
    /** Time before which this VM does not try the store once more. */
    time_point m_next_try;
    time_point m_rests_until;
};

} // namespace cranberrywood

#endif
