#ifndef CRANBERRYWOOD_WIRE_GATEWAY_CODEC_HPP
#define CRANBERRYWOOD_WIRE_GATEWAY_CODEC_HPP

#include "core/gateway_datagram.hpp"
#include "systems/store/store_mirror.hpp"
#include "wire/wire_error.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace cranberrywood {

/** Returns the bytes of a datagram between gateways. */
std::string encode(const gateway_datagram& datagram);
/** Returns the bytes of an update for VMs that follow a reader. */
std::string encode(const mirror_update& update);

/** Reads a datagram from another gateway; never throws. */
std::variant<gateway_datagram, wire_error>
decode_gateway_datagram(std::string_view bytes);
/** Reads an update from a reader; never throws. */
std::variant<mirror_update, wire_error>
decode_mirror_update(std::string_view bytes);

} // namespace cranberrywood

#endif
