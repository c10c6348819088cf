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
    /** The reader answers, but cannot reach the store. */
    store_unreachable,
};

/**
 * Decides whether this VM reads the store itself or follows a VM that does
 * (a reader). In a small fleet every VM reads the store. In a large fleet the
 * readers are the live seeds and then the first live VMs by rendezvous hashing;
 * every other VM follows one of them. When readers fail, a VM reads the store
 * itself; if that fails too, it goes back to the readers.
 */
class store_readers
{
public:
    /** The directory must outlive this object. */
    explicit store_readers(const member_directory& members);

    /**
     * Returns whether the VM must wait before it selects a source: it has just
     * started and no seed answers, or neither the readers nor the store are
     * available.
     */
    bool must_wait(time_point now) const;

    /**
     * Returns whether this VM is to list the store once by serializable reads
     * at its start. A VM that is one of its own seeds, or has none, reads the
     * store as a reader does.
     */
    bool lists_at_start() const;

    /** Returns the address of the reader to follow; none: read the store. */
    std::optional<std::string> source(time_point now);

    /** Records a failure of the followed reader. */
    void failed(reader_fault why, time_point now);
    /** Records that the store did not answer this VM's call. */
    void store_failed(time_point now);

private:
    struct failure_record
    {
        duration backoff{0};
        time_point backoff_until;
    };

    void start_direct_read(time_point now);
    bool is_seed() const;
    /** Returns whether this VM has just started and does not know the fleet. */
    bool is_starting(time_point now) const;
    /** Returns the seed to follow during the start, if one may answer. */
    std::optional<std::string> choose_seed(time_point now) const;
    void failed_at_start(time_point now);
    /** Returns the VMs that may read, the preferred ones first. */
    std::vector<std::string> candidates(time_point now) const;
    bool in_backoff(const std::string& reader, time_point now) const;
    std::optional<std::string>
    choose_reader(const std::vector<std::string>& readers,
                  time_point now) const;

    const member_directory& m_members;
    std::map<std::string, failure_record> m_failures;
    std::optional<std::string> m_followed;
    time_point m_last_failure;
    time_point m_direct_reads_until;
    /** Earliest time of the next direct read after reader failures. */
    time_point m_next_direct_read;
    time_point m_wait_until;
};

} // namespace cranberrywood

#endif
