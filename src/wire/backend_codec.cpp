#include "wire/backend_codec.hpp"

#include "wire/backend_fields.hpp"
#include "wire/message_codec.hpp"

namespace cranberrywood {

namespace {

using kind = wire::backend_message_kind;
using forms = wire_detail::message_forms<
    wire_detail::message_form<backend_hello, wire::backend_hello, kind::hello>,
    wire_detail::message_form<backend_request, wire::backend_request,
                              kind::request>,
    wire_detail::message_form<backend_cancel, wire::backend_cancel,
                              kind::cancel>,
    wire_detail::message_form<backend_reply, wire::backend_reply, kind::reply>>;

std::variant<backend_message, wire_error> decode(std::string_view payload)
{
    wire_detail::compact_reader reader(payload);
    wire::backend_header header;
    reader.read(header);
    backend_message message;
    if (!forms::read(header.kind, reader, message)) {
        return wire_error{wire_fault::unknown_kind,
                          std::to_string(header.kind)};
    }
    if (!reader.at_end()) {
        return wire_error{wire_fault::trailing_bytes, "backend message"};
    }
    return message;
}

} // namespace

std::string encode(const backend_message& message)
{
    wire_detail::compact_writer writer;
    std::visit(
        [&](const auto& m) {
            wire::backend_header header;
            header.kind = forms::kind_of<std::decay_t<decltype(m)>>();
            writer.write(header);
            forms::write(m, writer);
        },
        message);
    return writer.bytes();
}

std::variant<backend_message, wire_error>
decode_backend_message(std::string_view payload)
{
    return wire_detail::decode_safely<backend_message>(
        [&] { return decode(payload); });
}

} // namespace cranberrywood
