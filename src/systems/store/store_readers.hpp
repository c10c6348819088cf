#ifndef CRANBERRYWOOD_SYSTEMS_STORE_STORE_READERS_HPP
#define CRANBERRYWOOD_SYSTEMS_STORE_STORE_READERS_HPP

#include "systems/members/member_directory.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberrywood {

/**
 * Decides whether this VM reads the store itself or follows one that does.
 * In a small fleet every VM reads; in a large one the first few of the live
 * VMs by rendezvous hashing do, and the others follow one of them each.
 */
class store_readers
{
public:
    /** The directory must outlive this. */
    explicit store_readers(const member_directory& members);

    /** Returns whom to follow; nothing: read the store. */
    std::optional<std::string> source(time_point now);

    /** The VM that is followed did not answer, or has lost the store. */
    void failed(time_point now);

private:
    struct failure_record
    {
        duration avoid{0};
        time_point avoided_until;
    };

    std::vector<std::string> live_candidates(time_point now) const;
    std::optional<std::string> choose(const std::vector<std::string>& live,
                                      time_point now) const;

    const member_directory& m_members;
    std::map<std::string, failure_record> m_failures;
    std::optional<std::string> m_followed;
    time_point m_last_failure;
    time_point m_reads_until;
};

} // namespace cranberrywood

#endif
