#include "wire/gateway_codec.hpp"

#include "wire/gateway_fields.hpp"
#include "wire/message_codec.hpp"

namespace cranberrywood {

namespace {

template <class Wired, class Core>
std::string encode_as(const Core& message)
{
    Wired wired;
    wire_detail::to_wire copy;
    copy(message, wired);
    wire_detail::compact_writer writer;
    writer.write(wired);
    return writer.bytes();
}

template <class Wired, class Core>
std::variant<Core, wire_error> decode_as(std::string_view bytes)
{
    return wire_detail::decode_safely<Core>(
        [&]() -> std::variant<Core, wire_error> {
            wire_detail::compact_reader reader(bytes);
            Wired wired;
            reader.read(wired);
            if (!reader.at_end()) {
                return wire_error{wire_fault::trailing_bytes,
                                  "message between gateways"};
            }
            Core message;
            wire_detail::from_wire copy;
            copy(message, wired);
            return message;
        });
}

} // namespace

std::string encode(const gateway_datagram& datagram)
{
    return encode_as<wire::gateway_datagram>(datagram);
}

std::string encode(const mirror_update& update)
{
    return encode_as<wire::mirror_update>(update);
}

std::variant<gateway_datagram, wire_error>
decode_gateway_datagram(std::string_view bytes)
{
    return decode_as<wire::gateway_datagram, gateway_datagram>(bytes);
}

std::variant<mirror_update, wire_error>
decode_mirror_update(std::string_view bytes)
{
    return decode_as<wire::mirror_update, mirror_update>(bytes);
}

} // namespace cranberrywood
