#ifndef CRANBERRYWOOD_LOOP_MIRROR_READER_HPP
#define CRANBERRYWOOD_LOOP_MIRROR_READER_HPP

#include "loop/http_client.hpp"
#include "systems/store/store_mirror.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace cranberrywood {

/** Follows another VM's copy of the store. */
class mirror_reader
{
public:
    using update_handler = std::function<void(const mirror_update& update)>;
    /** Told that the reader gave no update, and why. */
    using failure_handler = std::function<void(const std::string& why)>;

    mirror_reader(loop_context& loop, update_handler updated,
                  failure_handler failed);

    /** Follows the VM at an address from now on. */
    void follow(const endpoint& reader);
    /** Follows nobody. */
    void stop();

private:
    void call();
    void take(const http_result& result);

    loop_context& m_loop;
    update_handler m_updated;
    failure_handler m_failed;
    std::optional<endpoint> m_reader;
    std::unique_ptr<http_client> m_client;
    incarnation m_process;
    std::uint64_t m_place = 0;
};

} // namespace cranberrywood

#endif
