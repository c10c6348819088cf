#include "loop/backend_links.hpp"
#include "raw_peer.hpp"

#include <CppUTest/TestHarness.h>
#include <memory>

using namespace cranberrywood;
using namespace std::chrono_literals;
using tests::raw_peer;
using tests::run_until;

namespace {

/** Keeps how exchanges end; answers carry the id in a header of the test. */
class recording_handler : public exchange_handler
{
public:
    answer_match match(const http_response& response,
                       const std::string& request_id) const override
    {
        const auto id = response["X-Id"];
        if (id.empty()) {
            return answer_match::unnamed;
        }
        return std::string(id.data(), id.size()) == request_id
                   ? answer_match::own
                   : answer_match::other;
    }
    void exchange_answered(exchange_id /*exchange*/,
                           http_response response) override
    {
        answers.push_back(std::move(response));
    }
    void exchange_failed(exchange_id /*exchange*/,
                         exchange_fault fault) override
    {
        faults.push_back(fault);
    }
    void server_probed(backend_server_id /*server*/,
                       probe_result result) override
    {
        probes.push_back(result);
    }
    std::size_t ended() const
    {
        return answers.size() + faults.size();
    }

    std::vector<http_response> answers;
    std::vector<exchange_fault> faults;
    std::vector<probe_result> probes;
};

struct answer_row
{
    const char* name;
    std::string bytes;
    /** The server closes behind the bytes. */
    bool closes;
    bool answered;
    /** The connection may carry the next exchange. */
    bool kept;
};

std::string answer(const std::string& id, const std::string& body,
                   const std::string& more = "")
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_GROUP(backend_links)
{
    boost::asio::io_context io;
    tests::stepped_clock time;
    std::unique_ptr<loop_context> loop;
    recording_handler handler;
    std::unique_ptr<backend_links> links;
    std::unique_ptr<tests::raw_listener> server;
    std::uint64_t exchanges = 0;
    connection_keep keep;

    void setup() override
    {
        loop.reset(new loop_context{io, time});
        links = std::make_unique<backend_links>(*loop, handler);
        server = std::make_unique<tests::raw_listener>();
    }
    void teardown() override
    {
        time.step(1h);
        links->sweep(time.now());
        links.reset();
        io.restart();
        io.poll();
        loop.reset();
    }
    exchange_id start(const std::string& id)
    {
        start_exchange e;
        e.exchange = exchange_id(++exchanges);
        e.server = backend_server_id(1);
        e.address = {"127.0.0.1", server->port()};
        auto request = std::make_shared<outbound_request>();
        request->id = id;
        request->method = "GET";
        e.request = request;
        e.keep = keep;
        links->start(e, "GET /" + id + " HTTP/1.1\r\n\r\n");
        return e.exchange;
    }
    std::unique_ptr<raw_peer> accept()
    {
        int socket = -1;
        CHECK(run_until(io, [&] {
            socket = server->accept();
            return socket >= 0;
        }));
        return std::make_unique<raw_peer>(socket);
    }
    void await_request(raw_peer & peer, const std::string& id)
    {
        CHECK(run_until(io, [&] {
            return peer.received().find("GET /" + id + " ") !=
                   std::string::npos;
        }));
    }
    void await_end(std::size_t count)
    {
        CHECK(run_until(io, [&] { return handler.ended() >= count; }));
    }
};

TEST(backend_links, what_servers_answer)
{
    const std::string good = answer("a", "part");
    const answer_row table[] = {
        {"whole", good, false, true, true},
        {"says close", answer("a", "part", "Connection: close\r\n"), false,
         true, false},
        {"interim first", "HTTP/1.1 100 Continue\r\n\r\n" + good, false, true,
         true},
        {"interim with a status of its own",
         "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + good, false, true,
         true},
        {"final answer with a status below 200",
         "HTTP/1.1 150 Odd" + good.substr(good.find("\r\n")), false, false,
         false},
        {"interim with a body",
         "HTTP/1.1 100 Continue" + good.substr(good.find("\r\n")), false, false,
         false},
        {"another protocol", "HTTP/1.1 101 Switching\r\n\r\n", false, false,
         false},
        {"status 000", "HTTP/1.1 000 Odd" + good.substr(good.find("\r\n")),
         false, false, false},
        {"another's first", answer("z", "late") + good, false, true, false},
        {"extra bytes behind", good + "HTTP/1.1 200 OK\r\n", false, true,
         false},
        {"second answer behind", good + good, false, true, false},
        {"ends with its connection", "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\npart",
         true, true, false},
        {"garbage", "\x05\x06garbage\r\n\r\n", false, false, false},
        {"truncated", good.substr(0, good.size() - 2), true, false, false},
        {"closed without an answer", "", true, false, false},
        {"only others'", answer("x", "") + answer("y", "") + answer("z", ""),
         false, false, false},
    };
    std::size_t count = 0;
    for (const answer_row& row : table) {
        const std::size_t answered = handler.answers.size();
        start("a");
        const auto peer = accept();
        await_request(*peer, "a");
        peer->send(row.bytes);
        if (row.closes) {
            peer->close();
        }
        await_end(++count);
        LONGS_EQUAL_TEXT(row.answered ? 1 : 0,
                         handler.answers.size() - answered, row.name);
        if (row.answered) {
            CHECK_TEXT(handler.answers.back().body() == "part", row.name);
        }
        LONGS_EQUAL_TEXT(row.kept ? 1 : 0, links->idle_connections(), row.name);
        time.step(1h);
        links->sweep(time.now());
    }
}

TEST(backend_links, a_kept_connection_carries_the_next_exchange)
{
    start("a");
    const auto peer = accept();
    await_request(*peer, "a");
    peer->send(answer("a", "1"));
    await_end(1);
    start("b");
    await_request(*peer, "b");
    peer->send(answer("b", "2"));
    await_end(2);
    CHECK_EQUAL(1U, links->connections_opened());
}

TEST(backend_links, bytes_that_nobody_asked_for_end_an_idle_connection)
{
    start("a");
    const auto peer = accept();
    await_request(*peer, "a");
    peer->send(answer("a", "1"));
    await_end(1);
    peer->send(answer("a", "1"));
    CHECK(run_until(io, [&] { return links->idle_connections() == 0; }));
    CHECK(run_until(io, [&] { return peer->ended(); }));
}

TEST(backend_links, an_idle_connection_is_closed_before_the_server_does)
{
    start("a");
    const auto peer = accept();
    await_request(*peer, "a");
    peer->send(answer("a", "1", "Keep-Alive: timeout=2\r\n"));
    await_end(1);
    time.step(1600ms);
    links->sweep(time.now());
    CHECK_EQUAL(0, links->idle_connections());
}

TEST(backend_links, a_port_without_a_listener_is_told_as_refused)
{
    server->close();
    start("a");
    await_end(1);
    CHECK(handler.faults[0] == exchange_fault::connection_refused);
}

TEST(backend_links, a_reset_is_told_as_a_lost_connection)
{
    start("a");
    const auto peer = accept();
    await_request(*peer, "a");
    time.step(9ms);
    peer->reset();
    await_end(1);
    CHECK(handler.faults[0] == exchange_fault::connection_lost);
}

// A server over its limit of connections was suspected like one that fails, and
// got further connections from the same VM.
TEST(backend_links, a_new_connection_that_is_reset_at_once_is_over_the_limit)
{
    start("a");
    const auto peer = accept();
    await_request(*peer, "a");
    peer->reset();
    await_end(1);
    CHECK(handler.faults[0] == exchange_fault::over_connection_limit);
    CHECK_EQUAL(1, links->counts().closed_for(close_reason::failed));
}

// A server may begin an answer before it resets a connection for any reason.
TEST(backend_links, a_reset_within_the_first_answer_is_not_over_the_limit)
{
    start("a");
    const auto peer = accept();
    await_request(*peer, "a");
    peer->send("HTTP/1.1 200 OK\r\n");
    for (int i = 0; i < 20; ++i) {
        io.restart();
        io.poll();
        std::this_thread::sleep_for(1ms);
    }
    peer->reset();
    await_end(1);
    CHECK(handler.faults[0] == exchange_fault::connection_lost);
}

// Connections to servers that a VM rarely uses were held for 8 s.
TEST(backend_links, a_connection_is_idle_for_no_longer_than_it_is_kept)
{
    keep.idle = 20ms;
    start("a");
    const auto peer = accept();
    await_request(*peer, "a");
    peer->send(answer("a", "1"));
    await_end(1);
    CHECK_EQUAL(1, links->idle_connections());
    CHECK(run_until(io, [&] { return links->idle_connections() == 0; }));
    CHECK(run_until(io, [&] { return peer->ended(); }));
    CHECK_EQUAL(1, links->counts().closed_for(close_reason::idle));
}

TEST(backend_links, no_more_idle_connections_are_held_than_are_kept)
{
    keep.most = 1;
    start("a");
    const auto first = accept();
    await_request(*first, "a");
    start("b");
    const auto second = accept();
    await_request(*second, "b");
    first->send(answer("a", "1"));
    await_end(1);
    second->send(answer("b", "2"));
    await_end(2);
    CHECK_EQUAL(1, links->idle_connections());
    CHECK_EQUAL(1, links->counts().closed_for(close_reason::surplus));
    start("c");
    await_request(*first, "c");
    CHECK_EQUAL(1, links->counts().reused);
    CHECK_EQUAL(2, links->counts().opened);
}

// One loss limited the use of all connections of its server for 10 s, so that
// nearly each send opened a connection.
TEST(backend_links, an_idle_connection_that_was_lost_is_told_apart)
{
    std::size_t ended = 0;
    for (int loss = 1; loss <= 2; ++loss) {
        start("a");
        const auto peer = accept();
        await_request(*peer, "a");
        peer->send(answer("a", "1"));
        await_end(++ended);
        time.step(700ms);
        start("b");
        await_request(*peer, "b");
        peer->reset();
        await_end(++ended);
        CHECK(handler.faults.back() == exchange_fault::kept_connection_lost);
        CHECK_EQUAL(loss, links->connections_opened());
    }
    // The second loss in a row limits the idle time of the next connection.
    start("c");
    const auto third = accept();
    await_request(*third, "c");
    third->send(answer("c", "1"));
    await_end(++ended);
    time.step(400ms);
    start("d");
    const auto fourth = accept();
    await_request(*fourth, "d");
    CHECK_EQUAL(4, links->connections_opened());
}

// A server that had worked for some ms was taken for one that had forgotten
// the connection, as 8 ms passed for the time of any reset.
TEST(backend_links, a_reset_after_more_than_a_round_trip_is_a_lost_answer)
{
    start("a");
    const auto peer = accept();
    await_request(*peer, "a");
    peer->send(answer("a", "1"));
    await_end(1);
    start("b");
    await_request(*peer, "b");
    time.step(5ms);
    peer->reset();
    await_end(2);
    CHECK(handler.faults[0] == exchange_fault::connection_lost);
}

TEST(backend_links, a_request_that_was_lost_after_a_while_may_have_been_read)
{
    start("a");
    const auto peer = accept();
    await_request(*peer, "a");
    peer->send(answer("a", "1"));
    await_end(1);
    start("b");
    await_request(*peer, "b");
    time.step(9ms);
    peer->reset();
    await_end(2);
    CHECK(handler.faults[0] == exchange_fault::connection_lost);
}

TEST(backend_links, a_kept_connection_lost_within_an_answer_is_a_lost_one)
{
    start("a");
    const auto peer = accept();
    await_request(*peer, "a");
    peer->send(answer("a", "1"));
    await_end(1);
    start("b");
    await_request(*peer, "b");
    peer->send("HTTP/1.1 200 OK\r\n");
    peer->close();
    await_end(2);
    CHECK(handler.faults[0] == exchange_fault::connection_lost);
}

TEST(backend_links,
     a_cancelled_exchange_closes_its_connection_and_tells_nothing)
{
    const exchange_id exchange = start("a");
    const auto peer = accept();
    await_request(*peer, "a");
    links->cancel(exchange);
    CHECK(run_until(io, [&] { return peer->ended(); }));
    CHECK_EQUAL(0, handler.ended());
}

// The server goes on until its caller closes. The exchange ends, so that its
// request can go to another server, and the connection is closed.
TEST(backend_links, an_answer_without_end_fails_and_closes_its_connection)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: a\r\n";
    const std::string body(65536, 'b');
    const std::pair<std::string, std::string> table[] = {
        {head + "\r\n", body},
        {head + "Transfer-Encoding: chunked\r\n\r\n",
         "10000\r\n" + body + "\r\n"},
        {head + "X: ", body},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
    };
    constexpr int most_sends = 200;
    std::size_t count = 0;
    for (const auto& [first, repeated] : table) {
        start("a");
        const auto peer = accept();
        await_request(*peer, "a");
        peer->send(first);
        ++count;
        for (int i = 0; i < most_sends && handler.ended() < count; ++i) {
            peer->send(repeated);
            io.restart();
            io.poll();
        }
        await_end(count);
        CHECK(handler.faults.back() == exchange_fault::invalid_answer);
        CHECK(run_until(io, [&] { return peer->ended(); }));
        CHECK_EQUAL(0, links->idle_connections());
    }
    CHECK_EQUAL(0, handler.answers.size());
}

TEST(backend_links, a_probe_of_a_server_that_runs_leaves_a_connection_to_use)
{
    links->probe({backend_server_id(1), {"127.0.0.1", server->port()}});
    CHECK(run_until(io, [&] { return handler.probes.size() == 1; }));
    CHECK(handler.probes[0] == probe_result::accepted);
    CHECK_EQUAL(1, links->idle_connections());
    const auto peer = accept();
    start("a");
    await_request(*peer, "a");
    peer->send(answer("a", "1"));
    await_end(1);
    CHECK_EQUAL(1, links->connections_opened());
}

TEST(backend_links, a_probe_of_a_server_that_has_ended_is_refused)
{
    server->close();
    links->probe({backend_server_id(1), {"127.0.0.1", server->port()}});
    CHECK(run_until(io, [&] { return handler.probes.size() == 1; }));
    CHECK(handler.probes[0] == probe_result::refused);
    CHECK_EQUAL(0, links->idle_connections());
    CHECK_EQUAL(0, handler.ended());
}

TEST(backend_links, a_probe_that_is_under_way_is_not_repeated)
{
    links->probe({backend_server_id(1), {"127.0.0.1", server->port()}});
    links->probe({backend_server_id(1), {"127.0.0.1", server->port()}});
    CHECK(run_until(io, [&] { return handler.probes.size() == 1; }));
    CHECK_EQUAL(1, links->connections_opened());
}

// TWICE: bytes that named no request were taken for a rejection of the next.
TEST(backend_links, bytes_that_name_no_request_are_no_answer_to_the_next_one)
{
    start("a");
    const auto peer = accept();
    await_request(*peer, "a");
    peer->send(answer("a", "1"));
    await_end(1);
    CHECK_EQUAL(1, links->idle_connections());
    start("b");
    await_request(*peer, "b");
    peer->send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    await_end(2);
    CHECK_EQUAL(1, handler.answers.size());
    CHECK(handler.faults[0] == exchange_fault::connection_lost);
    CHECK_EQUAL(0, links->idle_connections());
}

TEST(backend_links, a_server_that_names_no_request_is_used_without_reuse)
{
    for (int round = 1; round <= 3; ++round) {
        start("a");
        const auto peer = accept();
        await_request(*peer, "a");
        peer->send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
        await_end(static_cast<std::size_t>(round));
    }
    CHECK_EQUAL(3, handler.answers.size());
    CHECK_EQUAL(0, links->idle_connections());
    CHECK_EQUAL(3, links->connections_opened());
}

// Guards against an answer that grows though connections are being closed for
// want of memory.
TEST(backend_links, an_answer_waits_above_the_hard_limit)
{
    loop->memory.limit({1000, 2000, 0, 0});
    start("a");
    const auto peer = accept();
    await_request(*peer, "a");
    memory_hold other(loop->memory, memory_account::parts);
    other.set(3000);
    const std::string whole = answer("a", std::string(500, 'x'));
    peer->send(whole);
    io.restart();
    io.run_for(30ms);
    CHECK_EQUAL(0U, handler.ended());
    CHECK_EQUAL(0U, loop->memory.bytes(memory_account::server_answers));
    other.set(0);
    links->pressure_fell();
    await_end(1);
    CHECK_EQUAL(1U, handler.answers.size());
    CHECK_EQUAL(0U, loop->memory.sum());
}

// Guards against connections to servers that take the descriptors of others.
TEST(backend_links, a_connection_beyond_the_limit_is_not_opened)
{
    links->limit_connections(2);
    start("a");
    const auto first = accept();
    start("b");
    const auto second = accept();
    start("c");
    await_end(1);
    CHECK(handler.faults.front() == exchange_fault::not_connected);
    first->send(answer("a", ""));
    await_end(2);
    CHECK_EQUAL(2U, links->connections());
}
