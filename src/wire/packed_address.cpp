#include "wire/packed_address.hpp"

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace cranberrywood {

namespace {

constexpr unsigned port_bits = 16;
constexpr std::int64_t port_mask = 0xffff;
constexpr std::int64_t packed_end = std::int64_t(1) << 48U;

} // namespace

std::int64_t pack_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return 0;
    }
    in_addr ip{};
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &ip) != 1) {
        return 0;
    }
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + colon + 1, end, port);
    if (read.ec != std::errc() || read.ptr != end) {
        return 0;
    }
    return (std::int64_t(ntohl(ip.s_addr)) << port_bits) | port;
}

std::string unpack_address(std::int64_t packed)
{
    if (packed <= 0 || packed >= packed_end) {
        return {};
    }
    in_addr ip{};
    ip.s_addr = htonl(static_cast<std::uint32_t>(packed >> port_bits));
    std::array<char, INET_ADDRSTRLEN> text{};
    if (inet_ntop(AF_INET, &ip, text.data(), text.size()) == nullptr) {
        return {};
    }
    return std::string(text.data()) + ':' + std::to_string(packed & port_mask);
}

} // namespace cranberrywood
