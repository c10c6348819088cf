#include <rapidcheck.h>

#include "wire/frame_reader.hpp"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace cranberrywood;

namespace {

constexpr std::size_t max_test_frame_bytes = 64;

/** Takes all whole frames from a reader. */
std::vector<std::string> frames_of(frame_reader& reader)
{
    std::vector<std::string> frames;
    auto next = reader.next();
    while (auto* payload = std::get_if<std::string>(&next)) {
        frames.push_back(*payload);
        next = reader.next();
    }
    return frames;
}

} // namespace

TEST_GROUP(frame_reader_group){};

TEST(frame_reader_group, frames_survive_any_split_of_the_bytes)
{
    CHECK(rc::check([](std::vector<std::string> payloads, std::size_t step) {
        std::string bytes;
        for (std::string& payload : payloads) {
            payload.resize(std::min(payload.size(), max_test_frame_bytes));
            bytes += make_frame(payload);
        }
        frame_reader reader(max_test_frame_bytes);
        std::vector<std::string> got;
        const std::size_t piece = 1 + step % 7;
        for (std::size_t at = 0; at < bytes.size(); at += piece) {
            reader.append(std::string_view(bytes).substr(at, piece));
            for (std::string& payload : frames_of(reader)) {
                got.push_back(std::move(payload));
            }
        }
        RC_ASSERT(got == payloads);
    }));
}

TEST(frame_reader_group, random_bytes_give_frames_within_the_bound)
{
    CHECK(rc::check([](const std::string& bytes) {
        frame_reader reader(max_test_frame_bytes);
        reader.append(bytes);
        for (const std::string& payload : frames_of(reader)) {
            RC_ASSERT(payload.size() <= max_test_frame_bytes);
        }
    }));
}

TEST(frame_reader_group, a_frame_over_the_bound_is_refused_by_its_length)
{
    frame_reader reader(max_test_frame_bytes);
    reader.append(make_frame(std::string(max_test_frame_bytes + 1, 'x'))
                      .substr(0, frame_header_bytes));
    const auto next = reader.next();
    CHECK(std::holds_alternative<wire_error>(next));
    CHECK(std::get<wire_error>(next).fault == wire_fault::frame_too_large);
}
