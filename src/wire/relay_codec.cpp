#include "wire/relay_codec.hpp"

#include "wire/head_check.hpp"

#include "wire/gen/gateway_types.h"
#include "wire/message_codec.hpp"

namespace cranberrywood {

namespace {

template <class Wired>
std::string bytes_of(const Wired& wired)
{
    wire_detail::compact_writer writer;
    writer.write(wired);
    return writer.bytes();
}

template <class Wired>
Wired read_all(std::string_view bytes)
{
    wire_detail::compact_reader reader(bytes);
    Wired wired;
    reader.read(wired);
    if (!reader.at_end()) {
        throw wire_detail::out_of_range_value("bytes after a relay message");
    }
    return wired;
}

std::int64_t wired_id(std::uint64_t id)
{
    return static_cast<std::int64_t>(id);
}

std::uint64_t core_id(std::int64_t id)
{
    return static_cast<std::uint64_t>(id);
}

void copy_answer(const backend_answer& answer, wire::relay_result& wired)
{
    wired.status = static_cast<std::int32_t>(answer.status);
    wired.not_run = answer.not_run;
    wired.misdirected = answer.misdirected;
    wired.leaving = answer.leaving;
    wired.receipt = answer.receipt;
    if (answer.cold_remaining) {
        wired.__set_cold_remaining(answer.cold_remaining->count());
    }
    if (answer.retry_after) {
        wired.__set_retry_after(answer.retry_after->count());
    }
    if (answer.limit) {
        wired.__set_server_limit(*answer.limit);
    }
    if (answer.message) {
        wired.header_lines = answer.message->header_lines;
        wired.body = answer.message->body;
    }
}

backend_answer answer_of(const wire::relay_result& wired)
{
    backend_answer answer;
    answer.status = static_cast<unsigned>(wired.status);
    if (!is_status(answer.status) || !are_proper_fields(wired.header_lines)) {
        throw wire_detail::out_of_range_value("head of a relayed answer");
    }
    answer.not_run = wired.not_run;
    answer.misdirected = wired.misdirected;
    answer.leaving = wired.leaving;
    answer.receipt = wired.receipt;
    if (wired.__isset.cold_remaining) {
        answer.cold_remaining = duration(wired.cold_remaining);
    }
    if (wired.__isset.retry_after) {
        answer.retry_after = duration(wired.retry_after);
    }
    if (wired.__isset.server_limit) {
        answer.limit = wired.server_limit;
    }
    answer.message = std::make_shared<const relayed_message>(
        relayed_message{answer.status, wired.header_lines, wired.body});
    return answer;
}

exchange_fault fault_of(std::int8_t value)
{
    constexpr auto last = static_cast<std::int8_t>(exchange_fault::declined);
    if (value < 0 || value > last) {
        throw wire_detail::out_of_range_value("fault of a relayed exchange");
    }
    return static_cast<exchange_fault>(value);
}

} // namespace

std::string encode(const relay_request& request)
{
    wire::relay_request wired;
    wired.service_id = wired_id(request.service.value());
    for (const backend_server_id server : request.tried) {
        wired.tried.push_back(wired_id(server.value()));
    }
    wired.extra_send = request.extra;
    wired.request_print = wired_id(request.print.value());
    wired.deadline = request.deadline.count();
    wired.repeatable = request.repeatable;
    wired.workspace = request.workspace;
    wired.request_id = request.outbound->id;
    wired.method = request.outbound->method;
    wired.target = request.outbound->target;
    wired.header_lines = request.outbound->header_lines;
    wired.body = request.outbound->body;
    return bytes_of(wired);
}

std::string encode_relay_result(const exchange_ended& ended)
{
    wire::relay_result wired;
    wired.server = wired_id(ended.server.value());
    if (const auto* failure = std::get_if<exchange_failure>(&ended.result)) {
        // VMs of earlier versions refuse faults that they do not know.
        const exchange_fault fault =
            failure->fault == exchange_fault::over_connection_limit
                ? exchange_fault::connection_lost
                : failure->fault;
        wired.__set_fault(static_cast<std::int8_t>(fault));
    } else {
        copy_answer(std::get<backend_answer>(ended.result), wired);
    }
    return bytes_of(wired);
}

std::variant<relay_request, wire_error>
decode_relay_request(std::string_view bytes)
{
    return wire_detail::decode_safely<relay_request>(
        [&]() -> std::variant<relay_request, wire_error> {
            const auto wired = read_all<wire::relay_request>(bytes);
            if (!is_token(wired.method) || !is_visible_text(wired.target) ||
                !are_proper_fields(wired.header_lines) ||
                !is_field_value(wired.workspace)) {
                throw wire_detail::out_of_range_value("head of a request");
            }
            relay_request request;
            request.service = service_id(core_id(wired.service_id));
            for (const std::int64_t server : wired.tried) {
                request.tried.emplace_back(core_id(server));
            }
            request.extra = wired.extra_send;
            request.print = fingerprint(core_id(wired.request_print));
            request.deadline = duration(wired.deadline);
            request.repeatable = wired.repeatable;
            request.workspace = wired.workspace;
            request.outbound = std::make_shared<const outbound_request>(
                outbound_request{wired.request_id, wired.method, wired.target,
                                 wired.header_lines, wired.body});
            return request;
        });
}

std::variant<exchange_ended, wire_error>
decode_relay_result(std::string_view bytes, exchange_id exchange)
{
    return wire_detail::decode_safely<exchange_ended>(
        [&]() -> std::variant<exchange_ended, wire_error> {
            const auto wired = read_all<wire::relay_result>(bytes);
            exchange_ended ended;
            ended.exchange = exchange;
            ended.server = backend_server_id(core_id(wired.server));
            if (wired.__isset.fault) {
                ended.result = exchange_failure{fault_of(wired.fault)};
            } else {
                ended.result = answer_of(wired);
            }
            return ended;
        });
}

} // namespace cranberrywood
