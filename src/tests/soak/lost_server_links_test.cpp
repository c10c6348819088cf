#include "soak/soak_checker.hpp"
#include "soak/soak_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;
using namespace cranberrywood::soak;
using namespace std::chrono_literals;

namespace {

/** Time after the cut from which callers have to be served. */
constexpr duration stable_window = 4s;
/** Share of the service of the other VMs that callers have to get. */
constexpr double least_relative_share = 2.0 / 3.0;

struct cut_row
{
    const char* name;
    std::size_t vms;
    std::size_t cut;
    link_state how;
};

struct service_share
{
    std::size_t asked = 0;
    std::size_t served = 0;

    double value() const
    {
        return asked == 0
                   ? 0.0
                   : static_cast<double>(served) / static_cast<double>(asked);
    }
};

bool is_served(const asked_request& request)
{
    return !request.answers.empty() &&
           (std::holds_alternative<relayed_answer>(request.answers[0]) ||
            std::holds_alternative<gathered_answer>(request.answers[0]));
}

/** Returns the service at the VMs of a range from a time on. */
service_share share_of(const trace& seen, std::size_t first, std::size_t end,
                       time_point from)
{
    service_share share;
    for (const asked_request& request : seen.requests) {
        if (request.vm < first || request.vm >= end || request.at < from ||
            request.disturbed || request.workspace != steady_workspace) {
            continue;
        }
        ++share.asked;
        share.served += is_served(request) ? 1 : 0;
    }
    return share;
}

/** Fails with the first promise that the run broke. */
void check_promises(const trace& seen, const char* name)
{
    const auto broken = check(seen, {}, soak_world::workspaces());
    if (!broken.empty()) {
        FAIL((std::string(name) + ": " + broken.front()).c_str());
    }
}

soak_shape shape_of(std::size_t vms)
{
    soak_shape shape;
    shape.vms = vms;
    return shape;
}

} // namespace

TEST_GROUP(lost_server_links){};

TEST(lost_server_links, callers_of_vms_without_links_are_served_through_peers)
{
    const cut_row rows[] = {
        {"one of seven, silent", 7, 1, link_state::silent},
        {"five of seven, silent", 7, 5, link_state::silent},
        {"five of seven, refused", 7, 5, link_state::refused},
        {"three of seven, established only", 7, 3,
         link_state::established_only},
        {"sixteen of twenty-four, refused", 24, 16, link_state::refused},
        {"eight of twenty-four, silent", 24, 8, link_state::silent},
    };
    for (const cut_row& row : rows) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            soak_world world(seed, shape_of(row.vms));
            world.play_steady(10s);
            for (std::size_t vm = 0; vm < row.cut; ++vm) {
                world.cut_links(vm, row.how);
            }
            const time_point from = world.now() + stable_window;
            world.play_steady(12s);
            world.finish();
            const trace& seen = world.seen();
            const auto cut = share_of(seen, 0, row.cut, from);
            const auto others = share_of(seen, row.cut, row.vms, from);
            CHECK_TEXT(others.value() > 0.9, row.name);
            CHECK_TEXT(cut.asked > 20, row.name);
            CHECK_TEXT(cut.value() > least_relative_share * others.value(),
                       row.name);
            check_promises(seen, row.name);
        }
    }
}

TEST(lost_server_links, vms_send_by_themselves_again_once_links_are_back)
{
    soak_world world(5, shape_of(7));
    world.play_steady(10s);
    for (std::size_t vm = 0; vm < 5; ++vm) {
        world.cut_links(vm, link_state::silent);
    }
    world.play_steady(8s);
    for (std::size_t vm = 0; vm < 5; ++vm) {
        world.cut_links(vm, link_state::up);
    }
    const time_point from = world.now() + 2s;
    world.play_steady(8s);
    world.finish();
    std::size_t own = 0;
    for (const arrival& came : world.seen().arrivals) {
        own += came.vm < 5 && came.at >= from ? 1 : 0;
    }
    CHECK(own > 500);
    CHECK(share_of(world.seen(), 0, 5, from).value() > 0.9);
}

// Without a peer that has links nothing can be served, and is refused at once.
TEST(lost_server_links, requests_are_refused_at_once_when_no_vm_has_links)
{
    soak_world world(6, shape_of(7));
    world.play_steady(10s);
    for (std::size_t vm = 0; vm < 7; ++vm) {
        world.cut_links(vm, link_state::refused);
    }
    const time_point from = world.now() + stable_window;
    world.play_steady(6s);
    world.finish();
    std::size_t refused = 0;
    std::size_t asked = 0;
    for (const asked_request& request : world.seen().requests) {
        if (request.at < from || request.disturbed) {
            continue;
        }
        ++asked;
        const bool at_once =
            !request.answers.empty() &&
            std::holds_alternative<refused_answer>(request.answers[0]) &&
            request.answered_at - request.at < 100ms;
        refused += at_once ? 1 : 0;
    }
    CHECK(asked > 100);
    CHECK(refused * 10 > asked * 9);
}
