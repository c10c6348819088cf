#ifndef CRANBERRYWOOD_WIRE_WIRE_ERROR_HPP
#define CRANBERRYWOOD_WIRE_WIRE_ERROR_HPP

#include <cstdint>
#include <string>

namespace cranberrywood {

/** Why bytes from a peer or a backend server are not a message. */
enum class wire_fault : std::uint8_t
{
    /** The frame's length is over the bound. */
    frame_too_large,
    /** The bytes are not in the compact protocol, or end too early. */
    malformed,
    /** The header names no known kind of message. */
    unknown_kind,
    /** A field's value is out of its range. */
    out_of_range,
    /** Bytes are left over behind the message. */
    trailing_bytes,
};

/** A refused frame. */
struct wire_error
{
    wire_fault fault = wire_fault::malformed;
    std::string what;
};

} // namespace cranberrywood

#endif
