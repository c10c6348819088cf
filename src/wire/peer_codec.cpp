#include "wire/peer_codec.hpp"

#include "wire/message_codec.hpp"
#include "wire/peer_fields.hpp"

namespace cranberrywood {

namespace {

using kind = wire::peer_message_kind;
template <class Core, class Wired, int Kind>
using form = wire_detail::message_form<Core, Wired, Kind>;

using forms = wire_detail::message_forms<
    form<lease_ask, wire::lease_ask, kind::lease_ask>,
    form<lease_grant, wire::lease_grant, kind::lease_grant>,
    form<lease_release, wire::lease_release, kind::lease_release>,
    form<role_release_request, wire::role_wish, kind::role_wish>,
    form<holder_query, wire::holder_query, kind::holder_query>,
    form<holder_report, wire::holder_report, kind::holder_report>,
    form<heartbeat, wire::heartbeat, kind::heartbeat>,
    form<revision_pull, wire::revision_pull, kind::revision_pull>,
    form<revision_push, wire::revision_push, kind::revision_push>,
    form<loan_ask, wire::loan_ask, kind::loan_ask>,
    form<loan_grant, wire::loan_grant, kind::loan_grant>,
    form<owner_request, wire::owner_request, kind::owner_request>,
    form<owner_reply, wire::owner_reply, kind::owner_reply>,
    form<owner_cancel, wire::owner_cancel, kind::owner_cancel>,
    form<lookup_ask, wire::lookup_ask, kind::lookup_ask>,
    form<lookup_reply, wire::lookup_reply, kind::lookup_reply>,
    form<record_handover, wire::record_handover, kind::record_handover>,
    form<quarantine_notice, wire::quarantine_notice, kind::quarantine_notice>>;

wire::peer_header header_of(const peer_envelope& envelope)
{
    wire::peer_header header;
    wire_detail::to_wire copy;
    copy(envelope.from, header.sender);
    copy(envelope.from_incarnation, header.from_incarnation);
    copy(envelope.to_incarnation, header.to_incarnation);
    copy(envelope.sequence, header.sequence);
    return header;
}

peer_envelope envelope_of(const wire::peer_header& header)
{
    peer_envelope envelope;
    wire_detail::from_wire copy;
    copy(envelope.from, header.sender);
    copy(envelope.from_incarnation, header.from_incarnation);
    copy(envelope.to_incarnation, header.to_incarnation);
    copy(envelope.sequence, header.sequence);
    return envelope;
}

std::variant<peer_envelope, wire_error> decode(std::string_view payload)
{
    wire_detail::compact_reader reader(payload);
    wire::peer_header header;
    reader.read(header);
    peer_envelope envelope = envelope_of(header);
    if (!forms::read(header.kind, reader, envelope.body)) {
        return wire_error{wire_fault::unknown_kind,
                          std::to_string(header.kind)};
    }
    if (!reader.at_end()) {
        return wire_error{wire_fault::trailing_bytes, "peer message"};
    }
    return envelope;
}

} // namespace

std::string encode(const peer_envelope& envelope)
{
    wire_detail::compact_writer writer;
    wire::peer_header header = header_of(envelope);
    std::visit(
        [&](const auto& message) {
            header.kind = forms::kind_of<std::decay_t<decltype(message)>>();
            writer.write(header);
            forms::write(message, writer);
        },
        envelope.body);
    return writer.bytes();
}

std::variant<peer_envelope, wire_error>
decode_peer_envelope(std::string_view payload)
{
    return wire_detail::decode_safely<peer_envelope>(
        [&] { return decode(payload); });
}

} // namespace cranberrywood
