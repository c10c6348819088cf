#ifndef CRANBERRYWOOD_LOOP_LOOP_CONTEXT_HPP
#define CRANBERRYWOOD_LOOP_LOOP_CONTEXT_HPP

#include "loop/memory_ledger.hpp"
#include "units/time.hpp"

#include <array>
#include <boost/asio/io_context.hpp>

namespace cranberrywood {

/** What everything on the event loop's thread shares. */
struct loop_context
{
    boost::asio::io_context& io;
    const clock& time;
    /** Bytes of one read; valid until the handler that reads returns. */
    std::array<char, 65536> scratch{};
    /** Bytes held by connections and requests; without limits at first. */
    memory_ledger memory{};
};

} // namespace cranberrywood

#endif
