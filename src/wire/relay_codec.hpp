#ifndef CRANBERRYWOOD_WIRE_RELAY_CODEC_HPP
#define CRANBERRYWOOD_WIRE_RELAY_CODEC_HPP

#include "core/gateway_messages.hpp"
#include "wire/wire_error.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace cranberrywood {

/** Returns the bytes of a request to relay an exchange. */
std::string encode(const relay_request& request);
/** Returns the bytes that tell how a relayed exchange ended. */
std::string encode_relay_result(const exchange_ended& ended);

/** Reads a request to relay an exchange; never throws. */
std::variant<relay_request, wire_error>
decode_relay_request(std::string_view bytes);
/** Reads how a relayed exchange ended, under the asker's id; never throws. */
std::variant<exchange_ended, wire_error>
decode_relay_result(std::string_view bytes, exchange_id exchange);

} // namespace cranberrywood

#endif
