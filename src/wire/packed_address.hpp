#ifndef CRANBERRYWOOD_WIRE_PACKED_ADDRESS_HPP
#define CRANBERRYWOOD_WIRE_PACKED_ADDRESS_HPP

#include <cstdint>
#include <string>

namespace cranberrywood {

/** Packs `a.b.c.d:port` into a number; 0 if the text is something else. */
std::int64_t pack_address(const std::string& text);

/** Returns the text of a packed address; empty if the number is none. */
std::string unpack_address(std::int64_t packed);

} // namespace cranberrywood

#endif
