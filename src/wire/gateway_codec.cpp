#include "wire/gateway_codec.hpp"

#include "wire/gateway_fields.hpp"
#include "wire/message_codec.hpp"

namespace cranberrywood {

std::string encode(const gateway_datagram& datagram)
{
    wire::gateway_datagram wired;
    wire_detail::to_wire copy;
    copy(datagram, wired);
    wire_detail::compact_writer writer;
    writer.write(wired);
    return writer.bytes();
}

std::variant<gateway_datagram, wire_error>
decode_gateway_datagram(std::string_view bytes)
{
    return wire_detail::decode_safely<
        gateway_datagram>([&]() -> std::variant<gateway_datagram, wire_error> {
        wire_detail::compact_reader reader(bytes);
        wire::gateway_datagram wired;
        reader.read(wired);
        if (!reader.at_end()) {
            return wire_error{wire_fault::trailing_bytes, "gateway datagram"};
        }
        gateway_datagram datagram;
        wire_detail::from_wire copy;
        copy(datagram, wired);
        return datagram;
    });
}

} // namespace cranberrywood
