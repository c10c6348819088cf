#include "loop/caller_front.hpp"
#include "raw_peer.hpp"

#include <CppUTest/TestHarness.h>
#include <memory>

using namespace cranberrywood;
using namespace std::chrono_literals;
using tests::raw_peer;
using tests::run_until;

namespace {

/** Keeps what a front reads. */
class recording_handler : public request_handler
{
public:
    void request_read(caller_token token, http_request request,
                      duration /*network_time*/) override
    {
        tokens.push_back(token);
        requests.push_back(std::move(request));
    }
    void caller_closed(caller_token token) override
    {
        closed.push_back(token);
    }
    void slow_reader_dropped(std::size_t held_bytes,
                             duration /*stalled*/) override
    {
        dropped.push_back(held_bytes);
    }
    void bytes_refused(unsigned status) override
    {
        refused.push_back(status);
    }

    std::vector<caller_token> tokens;
    std::vector<http_request> requests;
    std::vector<caller_token> closed;
    std::vector<unsigned> refused;
    std::vector<std::size_t> dropped;
};

/** More than the kernel takes for one connection. */
constexpr std::size_t large_body = 16UL * 1024 * 1024;

struct refusal_row
{
    const char* name;
    std::string bytes;
    unsigned status;
};

std::uint16_t free_port()
{
    return tests::raw_listener().port();
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(caller_front)
{
    boost::asio::io_context io;
    tests::stepped_clock time;
    std::unique_ptr<loop_context> loop;
    recording_handler handler;
    std::unique_ptr<caller_front> front;
    std::uint16_t port = 0;

    void setup() override
    {
        loop.reset(new loop_context{io, time});
        front = std::make_unique<caller_front>(*loop, handler);
        front_limits limits;
        limits.message = {500, 100};
        limits.header_timeout = 3s;
        limits.idle_timeout = 15s;
        front->limit(limits);
        port = free_port();
        const auto error = front->listen({"127.0.0.1", port});
        CHECK_TEXT(!error, error.value_or("").c_str());
    }
    /** Restarts as a front that sheds, with limits of memory. */
    void shed(std::size_t soft, std::size_t hard)
    {
        front->stop_accepting();
        front = std::make_unique<caller_front>(
            *loop, handler,
            stream_accounts{memory_account::request_reading,
                            memory_account::caller_answers},
            true);
        loop->memory.limit({soft, hard, 0, 0});
        front_limits limits;
        limits.message = {500, 100000};
        front->limit(limits);
        CHECK(!front->listen({"127.0.0.1", port}));
    }
    /** Sends a part of a body and waits until it is counted. */
    std::unique_ptr<raw_peer> begin_body(std::size_t bytes)
    {
        const std::size_t before = loop->memory.sum();
        auto peer = connect();
        peer->send("POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" +
                   std::string(bytes, 'x'));
        CHECK(run_until(io,
                        [&] { return loop->memory.sum() >= before + bytes; }));
        return peer;
    }
    void teardown() override
    {
        front->stop_accepting();
        front.reset();
        io.restart();
        io.poll();
        loop.reset();
    }
    std::unique_ptr<raw_peer> connect()
    {
        return std::make_unique<raw_peer>(raw_peer::connect_to(port));
    }
    void await_requests(std::size_t count)
    {
        CHECK(run_until(io, [&] { return handler.requests.size() >= count; }));
    }
    void await_text(raw_peer & peer, const std::string& text)
    {
        CHECK_TEXT(
            run_until(io, [&] { return contains(peer.received(), text); }),
            text.c_str());
    }
    /** Asks and leaves an answer of a size unread. */
    void answer_unread(raw_peer & peer, std::size_t size)
    {
        const std::size_t before = handler.requests.size();
        peer.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
        await_requests(before + 1);
        front->answer(handler.tokens.back(), {200, "", std::string(size, 'x')});
        io.restart();
        io.poll();
    }
    void await_end(raw_peer & peer)
    {
        CHECK(run_until(io, [&] { return peer.ended(); }));
    }
};

TEST(caller_front, serves_requests_on_a_kept_connection)
{
    const auto peer = connect();
    for (std::size_t i = 1; i <= 3; ++i) {
        peer->send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
        await_requests(i);
        front->answer(handler.tokens.back(),
                      {200, "X-Number: " + std::to_string(i) + "\r\n", "body"});
        await_text(*peer, "X-Number: " + std::to_string(i));
    }
    CHECK(contains(peer->received(), "Content-Length: 4\r\n\r\nbody"));
    CHECK(!peer->ended());
}

TEST(caller_front, answers_pipelined_requests_in_order)
{
    const auto peer = connect();
    peer->send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    await_requests(1);
    CHECK_EQUAL(1, handler.requests.size());
    front->answer(handler.tokens[0], {200, "", "first"});
    await_requests(2);
    CHECK(handler.requests[1].target() == "/2");
    front->answer(handler.tokens[1], {200, "", "second"});
    await_text(*peer, "second");
    CHECK(peer->received().find("first") < peer->received().find("second"));
}

TEST(caller_front, refuses_what_is_no_proper_request_and_closes)
{
    const refusal_row table[] = {
        {"garbage", "\x01\x02\x03\r\n\r\n", 400},
        {"bad chunk",
         "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", 400},
        {"length and chunks",
         "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
         "Transfer-Encoding: chunked\r\n\r\nabc",
         400},
        {"large header",
         "GET / HTTP/1.1\r\nX: " + std::string(600, 'x') + "\r\n\r\n", 431},
        {"large body", "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", 413},
    };
    for (const refusal_row& row : table) {
        const auto peer = connect();
        peer->send(row.bytes);
        await_text(*peer, "HTTP/1.1 " + std::to_string(row.status));
        await_end(*peer);
        CHECK(contains(peer->received(), "Connection: close"));
    }
    CHECK_EQUAL(0, handler.requests.size());
    CHECK_EQUAL(5, handler.refused.size());
}

TEST(caller_front, a_slow_header_is_refused_in_time)
{
    const auto peer = connect();
    peer->send("GET / HTTP/1.1\r\nHo");
    CHECK(run_until(io, [&] { return front->connections() == 1; }));
    io.restart();
    io.run_for(20ms);
    time.step(4s);
    front->sweep(time.now());
    await_text(*peer, "HTTP/1.1 408");
    await_end(*peer);
}

TEST(caller_front, an_idle_connection_is_closed_without_an_answer)
{
    const auto peer = connect();
    CHECK(run_until(io, [&] { return front->connections() == 1; }));
    time.step(14s);
    front->sweep(time.now());
    CHECK_EQUAL(1, front->connections());
    time.step(2s);
    front->sweep(time.now());
    await_end(*peer);
    STRCMP_EQUAL("", peer->received().c_str());
}

TEST(caller_front, a_caller_that_leaves_is_noticed)
{
    const auto peer = connect();
    peer->send("GET / HTTP/1.1\r\n\r\n");
    await_requests(1);
    peer->close();
    CHECK(run_until(io, [&] { return handler.closed.size() == 1; }));
    CHECK(handler.closed[0] == handler.tokens[0]);
    front->answer(handler.tokens[0], {200, "", ""});
    CHECK_EQUAL(0, front->connections());
}

TEST(caller_front, a_body_that_is_announced_is_asked_for)
{
    const auto peer = connect();
    peer->send("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
               "Expect: 100-continue\r\n\r\n");
    await_text(*peer, "HTTP/1.1 100 Continue\r\n\r\n");
    peer->send("abc");
    await_requests(1);
    CHECK(handler.requests[0].body() == "abc");
}

TEST(caller_front, connections_end_when_either_side_asks)
{
    const auto peer = connect();
    peer->send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    await_requests(1);
    front->answer(handler.tokens[0], {200, "", "last"});
    await_end(*peer);
    CHECK(contains(peer->received(), "Connection: close"));
    const auto other = connect();
    front->close_after_answers();
    other->send("GET / HTTP/1.1\r\n\r\n");
    await_requests(2);
    front->answer(handler.tokens[1], {200, "", "last"});
    await_end(*other);
    CHECK(contains(other->received(), "last"));
}

TEST(caller_front, hundreds_of_idle_connections_leave_room_for_more)
{
    std::vector<std::unique_ptr<raw_peer>> idle;
    for (int i = 0; i < 300; ++i) {
        idle.push_back(connect());
    }
    CHECK(run_until(io, [&] { return front->connections() == 300; }));
    const auto peer = connect();
    peer->send("GET / HTTP/1.1\r\n\r\n");
    await_requests(1);
    front->answer(handler.tokens[0], {204, "", ""});
    await_text(*peer, "HTTP/1.1 204");
}

// LOST: a stopping VM dropped the rest of an answer a second after it came.
TEST(caller_front, a_slow_reader_gets_the_rest_after_the_stop_began)
{
    const auto peer = connect();
    front->close_after_answers();
    answer_unread(*peer, large_body);
    for (int i = 0; i < 5; ++i) {
        time.step(1s);
        front->sweep(time.now());
        front->close_idle();
    }
    CHECK_EQUAL(1, front->connections());
    CHECK(run_until(io, [&] { return peer->received().size() > large_body; }));
    CHECK(contains(peer->received(), "Connection: close"));
    await_end(*peer);
}

TEST(caller_front, a_slow_reader_on_a_kept_connection_is_not_idle)
{
    const auto peer = connect();
    answer_unread(*peer, large_body);
    time.step(14s);
    front->sweep(time.now());
    CHECK_EQUAL(1, front->connections());
    CHECK(run_until(io, [&] { return peer->received().size() > large_body; }));
    time.step(14s);
    front->sweep(time.now());
    CHECK_EQUAL(1, front->connections());
}

TEST(caller_front, a_reader_that_takes_nothing_for_long_is_dropped)
{
    const auto peer = connect();
    answer_unread(*peer, large_body);
    time.step(16s);
    front->sweep(time.now());
    CHECK_EQUAL(0, front->connections());
}

// The window of a caller with a small buffer is closed while it pauses, which
// the connection must survive: TCP_USER_TIMEOUT counts such time too.
TEST(caller_front, a_caller_that_pauses_with_a_closed_window_gets_its_answer)
{
    constexpr int small_buffer = 2048;
    constexpr std::size_t largest_answer = 36000;
    constexpr auto pause = 4s;
    raw_peer peer(raw_peer::connect_to(port, small_buffer));
    answer_unread(peer, largest_answer);
    const auto end = std::chrono::steady_clock::now() + pause;
    while (std::chrono::steady_clock::now() < end) {
        io.restart();
        io.poll();
        time.step(20ms);
        front->sweep(time.now());
        std::this_thread::sleep_for(20ms);
    }
    CHECK(
        run_until(io, [&] { return peer.received().size() > largest_answer; }));
    CHECK(!peer.ended());
}

TEST(caller_front, answers_that_are_not_taken_hold_a_bounded_memory)
{
    front_limits limits;
    limits.message = {500, 100};
    limits.max_held_bytes = 3 * large_body;
    front->limit(limits);
    std::vector<std::unique_ptr<raw_peer>> peers;
    for (int i = 0; i < 6; ++i) {
        peers.push_back(connect());
        answer_unread(*peers.back(), large_body);
        time.step(100ms);
    }
    CHECK(handler.dropped.size() >= 2);
    // The first to stall was dropped, the last is served.
    CHECK(run_until(
        io, [&] { return peers.back()->received().size() > large_body; }));
    CHECK(peers.front()->received().size() < large_body);
}

// LOST: what had come behind a request was dropped with the connection.
TEST(caller_front, a_request_behind_another_is_answered_when_the_vm_stops)
{
    const auto peer = connect();
    front->close_after_answers();
    peer->send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3");
    await_requests(1);
    front->answer(handler.tokens[0], {200, "", "one"});
    await_requests(2);
    front->answer(handler.tokens[1], {200, "", "two"});
    peer->send(" HTTP/1.1\r\n\r\n");
    await_requests(3);
    CHECK(!contains(peer->received(), "Connection: close"));
    front->answer(handler.tokens[2], {200, "", "three"});
    await_end(*peer);
    CHECK(contains(peer->received(), "Connection: close"));
    CHECK(contains(peer->received(), "three"));
}

// A listener that closes resets the connections that wait in its queue.
TEST(caller_front, callers_in_the_queue_are_served_when_accepting_stops)
{
    std::vector<std::unique_ptr<raw_peer>> peers;
    for (int i = 0; i < 5; ++i) {
        peers.push_back(connect());
        peers.back()->send("GET / HTTP/1.1\r\n\r\n");
    }
    front->stop_accepting();
    front->close_idle();
    await_requests(5);
    for (int i = 0; i < 5; ++i) {
        front->answer(handler.tokens[i], {200, "", "served"});
        await_text(*peers[i], "served");
    }
    CHECK_EQUAL(-1, raw_peer::connect_to(port));
}

TEST(caller_front, connections_end_as_idle_only_after_a_while)
{
    const auto peer = connect();
    CHECK(run_until(io, [&] { return front->connections() == 1; }));
    time.step(249ms);
    front->close_idle();
    peer->send("GET / HTTP/1.1\r\n\r\n");
    await_requests(1);
    front->answer(handler.tokens[0], {200, "", "served"});
    await_text(*peer, "served");
    time.step(250ms);
    front->close_idle();
    await_end(*peer);
}

// Guards against bytes that stay counted, which would refuse callers for good.
TEST(caller_front, a_connection_between_requests_holds_nothing)
{
    const auto peer = connect();
    peer->send("POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\n" +
               std::string(20, 'x'));
    CHECK(run_until(io, [&] { return loop->memory.sum() >= 20; }));
    peer->send(std::string(30, 'x'));
    await_requests(1);
    CHECK_EQUAL(0U, loop->memory.sum());
    front->answer(handler.tokens[0], {200, "", std::string(large_body, 'x')});
    CHECK(loop->memory.sum() > 0);
    CHECK(run_until(io, [&] { return peer->received().size() > large_body; }));
    CHECK_EQUAL(0U, loop->memory.sum());
}

// Guards against a caller that takes a little at a time and so keeps the whole
// answer in memory.
TEST(caller_front, memory_is_given_back_while_a_caller_takes_its_answer)
{
    const auto peer = connect();
    answer_unread(*peer, large_body);
    CHECK(run_until(io, [&] {
        return peer->received().size() > large_body - 2 * 1024 * 1024 ||
               loop->memory.sum() < large_body / 3;
    }));
    CHECK(loop->memory.sum() < large_body / 3);
}

TEST(caller_front, a_new_request_is_refused_at_once_when_memory_is_short)
{
    shed(1000, 1000000);
    memory_hold other(loop->memory, memory_account::parts);
    other.set(2000);
    const auto whole = connect();
    whole->send("GET / HTTP/1.1\r\n\r\n");
    await_text(*whole, "HTTP/1.1 503");
    const auto head = connect();
    head->send("POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n");
    await_text(*head, "HTTP/1.1 503");
    CHECK_EQUAL(0U, handler.requests.size());
    other.set(0);
    const auto later = connect();
    later->send("GET / HTTP/1.1\r\n\r\n");
    await_requests(1);
}

// Guards against memory that grows with bodies though it is short already.
TEST(caller_front, a_body_waits_in_the_kernel_while_memory_is_short)
{
    shed(500000, 1000000);
    const auto peer = begin_body(1000);
    memory_hold other(loop->memory, memory_account::parts);
    other.set(600000);
    peer->send(std::string(40000, 'x'));
    io.restart();
    io.run_for(30ms);
    const std::size_t held = loop->memory.sum();
    peer->send(std::string(40000, 'x'));
    io.restart();
    io.run_for(30ms);
    CHECK_EQUAL(held, loop->memory.sum());
    other.set(0);
    front->pressure_fell();
    peer->send(std::string(19000, 'x'));
    await_requests(1);
    CHECK_EQUAL(100000U, handler.requests[0].body().size());
}

TEST(caller_front, those_that_stall_are_closed_before_slow_bodies)
{
    shed(1UL << 40U, 1UL << 41U);
    const auto slow = begin_body(1000);
    time.step(1s);
    const auto faster = begin_body(50000);
    const auto first = connect();
    answer_unread(*first, large_body);
    time.step(1s);
    const auto second = connect();
    answer_unread(*second, large_body);
    time.step(1s);
    front->relieve(1, 1s);
    CHECK(run_until(io, [&] { return first->ended(); }));
    CHECK_EQUAL(3U, front->connections());
    CHECK_EQUAL(1U, front->closed().slow_readers);
    front->relieve(large_body, 1s);
    CHECK(run_until(io, [&] { return second->ended(); }));
    front->relieve(1, 1s);
    CHECK(run_until(io, [&] { return slow->ended(); }));
    CHECK(!faster->ended());
    CHECK_EQUAL(1U, front->closed().slow_bodies);
}

// Guards against idle connections that keep new callers out.
TEST(caller_front, the_longest_idle_connection_makes_room)
{
    front_limits limits;
    limits.message = {500, 100};
    limits.max_connections = 3;
    front->limit(limits);
    const auto busy = connect();
    busy->send("GET / HTTP/1.1\r\n\r\n");
    await_requests(1);
    const auto idle = connect();
    CHECK(run_until(io, [&] { return front->connections() == 2; }));
    const auto later = connect();
    CHECK(run_until(io, [&] { return front->connections() == 3; }));
    const auto fresh = connect();
    CHECK(run_until(io, [&] { return idle->ended(); }));
    fresh->send("GET / HTTP/1.1\r\n\r\n");
    await_requests(2);
    CHECK(!later->ended());
    CHECK(!busy->ended());
    CHECK_EQUAL(1U, front->closed().idle);
    later->send("GET / HTTP/1.1\r\n\r\n");
    await_requests(3);
    const auto turned_away = connect();
    CHECK(run_until(io, [&] { return turned_away->ended(); }));
    CHECK_EQUAL(1U, front->closed().turned_away);
    CHECK(front->is_full());
}
