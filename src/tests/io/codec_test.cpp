#include <rapidcheck.h>

#include "tests/fakes/random_messages.hpp"
#include "wire/backend_codec.hpp"
#include "wire/peer_codec.hpp"
#include "wire/peer_fields.hpp"

#include <CppUTest/TestHarness.h>

using namespace cranberrywood;

namespace {

/** Makes one random message of each alternative of a variant. */
template <class Core, class Wired>
Core random_message(random_source& random)
{
    Core message;
    fakes::random_fill fill(random);
    copy_fields(fill, message, Wired{});
    return message;
}

/** Calls the visitor with a sample of each peer message and its struct. */
template <class Visitor>
void for_each_peer_message(Visitor v)
{
    v(lease_ask{}, wire::lease_ask{});
    v(lease_grant{}, wire::lease_grant{});
    v(lease_release{}, wire::lease_release{});
    v(role_release_request{}, wire::role_wish{});
    v(holder_query{}, wire::holder_query{});
    v(holder_report{}, wire::holder_report{});
    v(heartbeat{}, wire::heartbeat{});
    v(revision_pull{}, wire::revision_pull{});
    v(revision_push{}, wire::revision_push{});
    v(loan_ask{}, wire::loan_ask{});
    v(loan_grant{}, wire::loan_grant{});
    v(owner_request{}, wire::owner_request{});
    v(owner_reply{}, wire::owner_reply{});
    v(owner_cancel{}, wire::owner_cancel{});
    v(lookup_ask{}, wire::lookup_ask{});
    v(lookup_reply{}, wire::lookup_reply{});
    v(record_handover{}, wire::record_handover{});
    v(quarantine_notice{}, wire::quarantine_notice{});
}

template <class Visitor>
void for_each_backend_message(Visitor v)
{
    v(backend_hello{}, wire::backend_hello{});
    v(backend_request{}, wire::backend_request{});
    v(backend_cancel{}, wire::backend_cancel{});
    v(backend_reply{}, wire::backend_reply{});
}

std::vector<peer_envelope> random_envelopes(std::uint64_t seed)
{
    seeded_random random(seed);
    std::vector<peer_envelope> all;
    for_each_peer_message([&](auto core, auto wired) {
        peer_envelope e{vm_id(random.next()),
                        incarnation(random.next()),
                        incarnation(random.next()),
                        random.next(),
                        {}};
        e.body = random_message<decltype(core), decltype(wired)>(random);
        all.push_back(e);
    });
    return all;
}

std::vector<backend_message> random_backend_messages(std::uint64_t seed)
{
    seeded_random random(seed);
    std::vector<backend_message> all;
    for_each_backend_message([&](auto core, auto wired) {
        all.push_back(random_message<decltype(core), decltype(wired)>(random));
    });
    return all;
}

/** Changes, drops or doubles some bytes. */
std::string mutate(std::string bytes, std::uint64_t seed)
{
    seeded_random random(seed);
    const std::uint64_t changes = 1 + random.below(4);
    for (std::uint64_t i = 0; i < changes && !bytes.empty(); ++i) {
        const std::size_t at = random.below(bytes.size());
        switch (random.below(3)) {
        case 0:
            bytes[at] = static_cast<char>(random.next());
            break;
        case 1:
            bytes.erase(at, 1 + random.below(8));
            break;
        default:
            bytes.insert(at, bytes.substr(at, random.below(8)));
        }
    }
    return bytes;
}

/** Decoding succeeds with a value that encodes again, or gives an error. */
template <class Decoded>
void accept_or_refuse(const Decoded& decoded)
{
    if (const auto* message = std::get_if<0>(&decoded)) {
        RC_ASSERT(!encode(*message).empty());
    }
}

wire_fault fault_of(std::string_view bytes)
{
    const auto decoded = decode_peer_envelope(bytes);
    CHECK(std::holds_alternative<wire_error>(decoded));
    return std::get<wire_error>(decoded).fault;
}

} // namespace

TEST_GROUP(codec){};

TEST(codec, field_lists_name_every_field)
{
    const auto check = [](auto core, auto wired) {
        seeded_random random(1);
        fakes::random_fill fill(random);
        copy_fields(fill, core, wired);
        CHECK_EQUAL(fakes::field_count<decltype(core)>(), fill.fields());
    };
    for_each_peer_message(check);
    for_each_backend_message(check);
    check(shard_ask{}, wire::shard_ask{});
    check(shard_result{}, wire::shard_result{});
    check(held_versions{}, wire::held_versions{});
    check(lookup_record{}, wire::lookup_record{});
    check(coverage{}, wire::coverage{});
    check(shard_coverage{}, wire::shard_coverage{});
    check(error_detail{}, wire::error_detail{});
    check(hit{}, wire::hit{});
}

TEST(codec, envelopes_come_back_unchanged)
{
    CHECK(rc::check([](std::uint64_t seed) {
        for (const peer_envelope& sent : random_envelopes(seed)) {
            const std::string bytes = encode(sent);
            const auto decoded = decode_peer_envelope(bytes);
            const auto* got = std::get_if<peer_envelope>(&decoded);
            RC_ASSERT(got != nullptr);
            RC_ASSERT(got->body.index() == sent.body.index());
            RC_ASSERT(got->from == sent.from);
            RC_ASSERT(got->sequence == sent.sequence);
            RC_ASSERT(encode(*got) == bytes);
        }
    }));
}

TEST(codec, backend_messages_come_back_unchanged)
{
    CHECK(rc::check([](std::uint64_t seed) {
        for (const backend_message& sent : random_backend_messages(seed)) {
            const std::string bytes = encode(sent);
            const auto decoded = decode_backend_message(bytes);
            const auto* got = std::get_if<backend_message>(&decoded);
            RC_ASSERT(got != nullptr);
            RC_ASSERT(got->index() == sent.index());
            RC_ASSERT(encode(*got) == bytes);
        }
    }));
}

TEST(codec, random_bytes_never_crash_a_decoder)
{
    CHECK(rc::check([](const std::string& bytes) {
        accept_or_refuse(decode_peer_envelope(bytes));
        accept_or_refuse(decode_backend_message(bytes));
    }));
}

TEST(codec, mutated_messages_never_crash_a_decoder)
{
    CHECK(rc::check([](std::uint64_t seed) {
        for (const peer_envelope& sent : random_envelopes(seed)) {
            accept_or_refuse(decode_peer_envelope(mutate(encode(sent), seed)));
        }
        for (const backend_message& sent : random_backend_messages(seed)) {
            accept_or_refuse(
                decode_backend_message(mutate(encode(sent), seed)));
        }
    }));
}

TEST(codec, truncated_messages_are_refused)
{
    const std::string whole = encode(random_envelopes(7).front());
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CHECK(fault_of(whole.substr(0, length)) == wire_fault::malformed ||
              fault_of(whole.substr(0, length)) == wire_fault::unknown_kind);
    }
}

TEST(codec, bytes_behind_a_message_are_refused)
{
    const std::string whole = encode(random_envelopes(7).front());
    CHECK(fault_of(whole + "x") == wire_fault::trailing_bytes);
}

TEST(codec, enumerators_out_of_range_are_refused)
{
    peer_envelope envelope;
    owner_reply reply;
    reply.results.resize(1);
    reply.results[0].outcome = static_cast<shard_outcome>(77);
    envelope.body = reply;
    CHECK(fault_of(encode(envelope)) == wire_fault::out_of_range);
}

TEST(codec, a_list_that_claims_more_than_the_frame_is_refused)
{
    peer_envelope envelope;
    envelope.body = holder_query{{role_group_id(1)}};
    std::string bytes = encode(envelope);
    // The list header of one 64-bit number becomes the long form.
    const std::size_t at = bytes.rfind('\x16');
    bytes.replace(at, 1, "\xf6\xff\xff\xff\x0f");
    CHECK(fault_of(bytes) == wire_fault::malformed);
}
