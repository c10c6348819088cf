#ifndef CRANBERRYWOOD_SYSTEMS_STORE_STORE_READERS_HPP
#define CRANBERRYWOOD_SYSTEMS_STORE_STORE_READERS_HPP

#include "systems/members/member_directory.hpp"

#include <map>
#include <optional>
#include <string>

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

    /** Takes note that a reader did not answer, or has lost the store. */
    void failed(const std::string& reader, time_point now);

private:
    const member_directory& m_members;
    std::map<std::string, time_point> m_avoided_until;
    std::string m_followed;
};

} // namespace cranberrywood

#endif
