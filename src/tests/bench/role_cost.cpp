#include "fakes/manual_replica_picker.hpp"
#include "fakes/manual_role_view.hpp"
#include "fakes/sample_settings.hpp"
#include "systems/lookups/id_records.hpp"
#include "systems/rates/rate_home.hpp"
#include "wire/peer_codec.hpp"

#include <cstdio>
#include <ctime>
#include <malloc.h>

/**
 * Prints what a home costs by its borrowers and an id owner by its records:
 * processor time, memory, and bytes of the messages.
 */
namespace {

using namespace cranberrywood;
using namespace std::chrono_literals;

constexpr int asks_per_borrower = 200;

std::size_t heap_in_use()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

double seconds_since(std::clock_t start)
{
    return static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
}

template <class Message>
std::size_t bytes_of(const Message& message)
{
    return encode(peer_envelope{vm_id(~0ULL), incarnation(~0ULL),
                                incarnation(~1ULL), 1U << 20U, message})
        .size();
}

/** One workspace whose tokens many entry VMs borrow in turn. */
void print_home(std::uint32_t borrowers)
{
    fakes::sample_shape shape;
    shape.workspaces = 1;
    shape.rate_milli = 190'000'000;
    shape.burst_milli = 95'000'000;
    const auto settings = fakes::sample_index(shape);
    fakes::manual_role_view roles(settings);
    roles.hold_all_until(time_point::max());
    rate_home home(roles);
    outbox out;
    time_point now{1h};
    const workspace_id workspace = settings->all().workspaces.front().id;
    home.settings_changed(settings, now);
    home.start(workspace, now);
    const std::size_t before = heap_in_use();
    std::size_t ask_bytes = 0;
    std::size_t grant_bytes = 0;
    std::uint64_t asks = 0;
    const std::clock_t start = std::clock();
    for (int round = 1; round <= asks_per_borrower; ++round) {
        now += 50ms;
        for (std::uint32_t vm = 1; vm <= borrowers; ++vm) {
            loan_ask ask;
            ask.workspace = workspace;
            ask.round = static_cast<std::uint64_t>(round);
            ask.wanted = 12'000;
            ++asks;
            home.receive(vm_id(vm), ask, now, out);
            for (const auto& sent : out.take_peer_messages()) {
                ask_bytes = bytes_of(ask);
                grant_bytes = bytes_of(std::get<loan_grant>(sent.body));
            }
        }
        home.tick(now, out);
        out.take_peer_messages();
    }
    const double us = 1e6 * seconds_since(start) / static_cast<double>(asks);
    const auto memory = static_cast<double>(heap_in_use() - before);
    std::printf("| %u | %.2f | %.0f | %zu | %zu |\n", borrowers, us,
                memory / borrowers, ask_bytes, grant_bytes);
}

/** Requests that run once each and stay recorded. */
void print_records(std::uint32_t records)
{
    const auto settings = fakes::sample_index({});
    fakes::manual_role_view roles(settings);
    roles.hold_all_until(time_point::max());
    roles.believe_all(vm_id(2));
    fakes::manual_replica_picker picker;
    picker.add(1, vm_id(2));
    id_records owner({vm_id(1), incarnation(1), {}, "", {}}, roles, picker);
    outbox out;
    time_point now{1h};
    owner.settings_changed(settings);
    for (const auto group : roles.map().groups()) {
        owner.start(group, now);
    }
    // The time after a start in which ids cannot be told to be new.
    const time_point end = now + 2 * settings->fleet().resend_window;
    while (now < end) {
        now += 500ms;
        owner.tick(now, out);
    }
    const std::size_t before = heap_in_use();
    const std::clock_t start = std::clock();
    for (std::uint32_t i = 0; i < records; ++i) {
        lookup_ask ask;
        ask.query = {incarnation(3), i + 1};
        ask.request = request_id_of(workspace_id(1), std::to_string(i));
        ask.workspace = workspace_id(1);
        ask.time_left = 320ms;
        ask.hit_limit = 1;
        ask.body = "lot-0000";
        owner.receive(vm_id(3), ask, now, out);
        for (const auto& sent : out.take_peer_messages()) {
            if (const auto* r = std::get_if<owner_request>(&sent.body)) {
                owner_reply reply;
                reply.query = r->query;
                reply.index = r->index;
                reply.results.push_back({r->asks.front().id,
                                         r->asks.front().shard,
                                         r->asks.front().backend_server,
                                         shard_outcome::done,
                                         {},
                                         0,
                                         false});
                owner.receive(vm_id(2), reply, now, out);
            }
        }
        out.take_peer_messages();
    }
    const double us = 1e6 * seconds_since(start) / records;
    std::printf("| %u | %zu | %.2f | %.0f |\n", records, owner.size(), us,
                static_cast<double>(heap_in_use() - before) / records);
}

} // namespace

int main()
{
    std::puts("| borrowers | us per ask | bytes of memory per borrower | bytes "
              "per ask | bytes per grant |");
    std::puts("|---|---|---|---|---|");
    for (const std::uint32_t borrowers : {8U, 80U, 840U}) {
        print_home(borrowers);
    }
    std::puts("\n| requests | records kept | us per request | bytes of memory "
              "per request |");
    std::puts("|---|---|---|---|");
    for (const std::uint32_t records : {1000U, 10000U, 50000U}) {
        print_records(records);
    }
}
