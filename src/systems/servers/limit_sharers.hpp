#ifndef CRANBERRYWOOD_SYSTEMS_SERVERS_LIMIT_SHARERS_HPP
#define CRANBERRYWOOD_SYSTEMS_SERVERS_LIMIT_SHARERS_HPP

#include "systems/members/member_directory.hpp"

#include <optional>
#include <unordered_map>

namespace cranberrywood {

/**
 * Says which VMs divide the limit of a backend server: some of all, chosen by
 * rendezvous hashing, so that VMs that know the same members agree.
 */
class limit_sharers
{
public:
    /** The directory must outlive this object. */
    explicit limit_sharers(const member_directory& members);

    /**
     * Returns the time between two requests of this VM to a server that takes
     * a number of requests a second from at most `most` VMs; none if this VM
     * is not one of them, or does not know whether it is.
     */
    std::optional<duration> spacing(backend_server_id server, double per_second,
                                    double most, time_point now);

    void forget(backend_server_id server);

private:
    /** Whether this VM ranks among the first, for a count and the members. */
    struct ranked
    {
        bool included = false;
        std::size_t count = 0;
        std::uint64_t members = 0;
    };

    bool includes_self(backend_server_id server, std::size_t count);

    const member_directory& m_members;
    std::unordered_map<backend_server_id, ranked> m_ranked;
};

} // namespace cranberrywood

#endif
