#include "loop/relay_links.hpp"

#include "loop/boot_clock.hpp"
#include "loop/control_front.hpp"
#include "loop/raw_peer.hpp"
#include "wire/relay_codec.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace std::chrono_literals;

namespace {

relay_request request()
{
    relay_request r;
    r.service = service_id(~0ULL);
    r.tried = {backend_server_id(3), backend_server_id(1ULL << 63U)};
    r.extra = true;
    r.print = fingerprint(77);
    r.deadline = 900ms;
    r.repeatable = true;
    r.workspace = "desk";
    r.outbound = std::make_shared<const outbound_request>(outbound_request{
        "id-1", "POST", "/a?b=c", "X: y\r\n", std::string("\0\xff body", 7)});
    return r;
}

exchange_ended answered()
{
    backend_answer answer;
    answer.status = 200;
    answer.leaving = true;
    answer.receipt = "3e1b.07";
    answer.cold_remaining = 0ms;
    answer.retry_after = 250ms;
    answer.limit = 6.5;
    answer.message = std::make_shared<const relayed_message>(
        relayed_message{200, "A: b\r\n", std::string("\0\x80", 2)});
    return {exchange_id(9), answer, backend_server_id(1ULL << 63U)};
}

} // namespace

TEST_GROUP(relay_links)
{
    boost::asio::io_context io{1};
    boot_clock time;
    loop_context loop{io, time};
    control_front front{
        loop, [](incarnation, std::uint64_t) { return mirror_update(); }};
    const std::uint16_t port = tests::raw_listener().port();
    std::vector<exchange_ended> ended;
    relay_links links{loop, port, [this](exchange_ended e) {
                          ended.push_back(std::move(e));
                      }};
    std::vector<std::pair<caller_token, std::string>> called;
    std::vector<caller_token> closed;

    void serve()
    {
        front.serve_calls(
            relay_path,
            [this](caller_token token, const std::string& body) {
                called.emplace_back(token, body);
            },
            [this](caller_token token) { closed.push_back(token); });
        CHECK(!front.listen({"127.0.0.1", port}));
    }
    template <class Condition>
    bool wait_for(Condition condition)
    {
        const time_point end = time.now() + 3s;
        while (!condition() && time.now() < end) {
            io.restart();
            io.run_for(5ms);
        }
        return condition();
    }
    void start(std::uint64_t exchange)
    {
        links.start({exchange_id(exchange), "127.0.0.1:7000", request()});
    }
};

TEST(relay_links, a_request_and_its_answer_pass_whole)
{
    serve();
    start(9);
    CHECK(wait_for([&] { return !called.empty(); }));
    const auto read =
        std::get<relay_request>(decode_relay_request(called[0].second));
    CHECK(read.service == request().service);
    CHECK(read.tried == request().tried);
    CHECK(read.extra && read.repeatable);
    CHECK(read.print == fingerprint(77));
    CHECK(read.deadline == duration(900ms));
    STRCMP_EQUAL("desk", read.workspace.c_str());
    STRCMP_EQUAL("id-1", read.outbound->id.c_str());
    STRCMP_EQUAL("POST", read.outbound->method.c_str());
    STRCMP_EQUAL("/a?b=c", read.outbound->target.c_str());
    STRCMP_EQUAL("X: y\r\n", read.outbound->header_lines.c_str());
    CHECK(read.outbound->body == request().outbound->body);
    front.answer(called[0].first, encode_relay_result(answered()));
    CHECK(wait_for([&] { return !ended.empty(); }));
    CHECK(ended[0].exchange == exchange_id(9));
    CHECK(ended[0].server == answered().server);
    const auto& answer = std::get<backend_answer>(ended[0].result);
    CHECK(answer.success() && answer.leaving && !answer.not_run);
    CHECK(answer.cold_remaining == duration(0));
    CHECK(answer.retry_after == duration(250ms));
    DOUBLES_EQUAL(6.5, *answer.limit, 0.0);
    CHECK(answer.message->body == std::string("\0\x80", 2));
    STRCMP_EQUAL("A: b\r\n", answer.message->header_lines.c_str());
}

TEST(relay_links, every_fault_passes)
{
    for (int fault = 0; fault <= static_cast<int>(exchange_fault::declined);
         ++fault) {
        const exchange_failure failure{static_cast<exchange_fault>(fault)};
        const auto read = decode_relay_result(
            encode_relay_result({{}, failure, {}}), exchange_id(4));
        const auto& end = std::get<exchange_ended>(read);
        CHECK(std::get<exchange_failure>(end.result).fault == failure.fault);
        CHECK(!end.server.is_set());
    }
}

// VMs of earlier versions refuse a result with a fault that they do not know.
TEST(relay_links, a_fault_of_this_version_passes_as_a_lost_connection)
{
    const exchange_failure failure{exchange_fault::over_connection_limit};
    const auto read = decode_relay_result(
        encode_relay_result({{}, failure, {}}), exchange_id(4));
    const auto& end = std::get<exchange_ended>(read);
    CHECK(std::get<exchange_failure>(end.result).fault ==
          exchange_fault::connection_lost);
}

TEST(relay_links, heads_that_are_none_are_refused)
{
    for (const unsigned status : {0U, 99U, 600U}) {
        exchange_ended spoiled = answered();
        std::get<backend_answer>(spoiled.result).status = status;
        CHECK(std::holds_alternative<wire_error>(
            decode_relay_result(encode_relay_result(spoiled), exchange_id(1))));
    }
    for (const char* lines : {"A b: c\r\n", "A: b", "A: b\r\n c\r\n",
                              "A: b\r\n\r\nGET / HTTP/1.1\r\n"}) {
        relay_request spoiled = request();
        auto outbound = std::make_shared<outbound_request>(*spoiled.outbound);
        outbound->header_lines = lines;
        spoiled.outbound = outbound;
        CHECK(std::holds_alternative<wire_error>(
            decode_relay_request(encode(spoiled))));
    }
    relay_request spoiled = request();
    auto outbound = std::make_shared<outbound_request>(*spoiled.outbound);
    outbound->target = "/a HTTP/1.1\r\nX: y";
    spoiled.outbound = outbound;
    CHECK(std::holds_alternative<wire_error>(
        decode_relay_request(encode(spoiled))));
    spoiled = request();
    spoiled.workspace = "desk\r\nX: y";
    CHECK(std::holds_alternative<wire_error>(
        decode_relay_request(encode(spoiled))));
}

TEST(relay_links, bytes_that_are_no_message_are_refused)
{
    const std::string whole = encode(request());
    for (std::size_t size = 0; size < whole.size(); ++size) {
        CHECK(std::holds_alternative<wire_error>(
            decode_relay_request(whole.substr(0, size))));
    }
    CHECK(
        std::holds_alternative<wire_error>(decode_relay_request(whole + "x")));
    const std::string result = encode_relay_result(answered());
    for (std::size_t size = 0; size < result.size(); ++size) {
        CHECK(std::holds_alternative<wire_error>(
            decode_relay_result(result.substr(0, size), exchange_id(1))));
    }
}

// A caller's largest body must fit, with what travels beside it.
TEST(relay_links, a_body_at_the_limit_of_callers_passes)
{
    constexpr std::size_t body_bytes = 2UL * 1024 * 1024;
    serve();
    front.limit_body(body_bytes + 4096);
    relay_request large = request();
    large.outbound = std::make_shared<const outbound_request>(outbound_request{
        "id-2", "POST", "/", "", std::string(body_bytes, 'x')});
    links.start({exchange_id(3), "127.0.0.1:7000", large});
    CHECK(wait_for([&] { return !called.empty(); }));
    const auto read =
        std::get<relay_request>(decode_relay_request(called[0].second));
    CHECK_EQUAL(body_bytes, read.outbound->body.size());
}

// The peer must not go on with work that nobody waits for.
TEST(relay_links, a_cancelled_exchange_is_withdrawn_at_the_peer)
{
    serve();
    start(1);
    CHECK(wait_for([&] { return !called.empty(); }));
    links.cancel(exchange_id(1));
    CHECK(wait_for([&] { return !closed.empty(); }));
    CHECK(closed[0] == called[0].first);
    front.answer(called[0].first, encode_relay_result(answered()));
    CHECK(ended.empty());
}

TEST(relay_links, a_peer_that_refuses_connections_got_nothing)
{
    start(1);
    CHECK(wait_for([&] { return !ended.empty(); }));
    CHECK(std::get<exchange_failure>(ended[0].result).fault ==
          exchange_fault::not_connected);
}

// Whether it was sent is not known, so it must not count as unsent.
TEST(relay_links, a_peer_that_ends_after_the_request_was_written_may_have_sent)
{
    auto other = std::make_unique<control_front>(
        loop, [](incarnation, std::uint64_t) { return mirror_update(); });
    bool came = false;
    other->serve_calls(
        relay_path, [&](caller_token, const std::string&) { came = true; },
        [](caller_token) {});
    CHECK(!other->listen({"127.0.0.1", port}));
    start(1);
    CHECK(wait_for([&] { return came; }));
    other.reset();
    CHECK(wait_for([&] { return !ended.empty(); }));
    CHECK(std::get<exchange_failure>(ended[0].result).fault ==
          exchange_fault::connection_lost);
}

TEST(relay_links, a_program_that_does_not_relay_declines)
{
    CHECK(!front.listen({"127.0.0.1", port}));
    start(1);
    CHECK(wait_for([&] { return !ended.empty(); }));
    CHECK(std::get<exchange_failure>(ended[0].result).fault ==
          exchange_fault::declined);
}

TEST(relay_links, exchanges_share_kept_connections_one_at_a_time)
{
    serve();
    for (std::uint64_t i = 1; i <= 3; ++i) {
        start(i);
        CHECK(wait_for([&] { return called.size() == i; }));
        front.answer(called.back().first, encode_relay_result(answered()));
        CHECK(wait_for([&] { return ended.size() == i; }));
    }
    start(4);
    start(5);
    CHECK(wait_for([&] { return called.size() == 5; }));
}
