#ifndef CRANBERRYWOOD_WIRE_PEER_CODEC_HPP
#define CRANBERRYWOOD_WIRE_PEER_CODEC_HPP

#include "core/messages.hpp"
#include "wire/wire_error.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace cranberrywood {

/** Returns the payload of a frame that carries the envelope. */
std::string encode(const peer_envelope& envelope);

/** Reads the payload of a frame from another VM; never throws. */
std::variant<peer_envelope, wire_error>
decode_peer_envelope(std::string_view payload);

} // namespace cranberrywood

#endif
