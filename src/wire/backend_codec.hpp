#ifndef CRANBERRYWOOD_WIRE_BACKEND_CODEC_HPP
#define CRANBERRYWOOD_WIRE_BACKEND_CODEC_HPP

#include "core/messages.hpp"
#include "wire/wire_error.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace cranberrywood {

/** Everything that goes over a link to a backend server, either way. */
using backend_message =
    std::variant<backend_hello, backend_request, backend_cancel, backend_reply>;

/** Returns the payload of a frame that carries the message. */
std::string encode(const backend_message& message);

/** Reads the payload of a frame of a backend link; never throws. */
std::variant<backend_message, wire_error>
decode_backend_message(std::string_view payload);

} // namespace cranberrywood

#endif
