#ifndef CRANBERRYWOOD_LOOP_ANSWER_MATCH_HPP
#define CRANBERRYWOOD_LOOP_ANSWER_MATCH_HPP

#include <cstdint>

namespace cranberrywood {

/** Whose answer a backend server's message is. */
enum class answer_match : std::uint8_t
{
    /** It names the request that waits. */
    own,
    /** It names another request. */
    other,
    /** It names none. */
    unnamed,
    /** A header that may stand once stands twice. */
    invalid,
};

} // namespace cranberrywood

#endif
