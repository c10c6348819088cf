#ifndef CRANBERRYWOOD_WIRE_MESSAGE_CODEC_HPP
#define CRANBERRYWOOD_WIRE_MESSAGE_CODEC_HPP

#include "wire/compact_buffer.hpp"
#include "wire/field_copy.hpp"
#include "wire/wire_error.hpp"

#include <new>
#include <type_traits>
#include <variant>

/** What the peer codec and the backend codec have in common. */
namespace cranberrywood::wire_detail {

/**
 * Ties a core message to its Thrift struct and its kind. Kind is the number
 * in the header and must never change its meaning.
 */
template <class Core, class Wired, int Kind>
struct message_form
{
    using core_type = Core;
    using wired_type = Wired;
    static constexpr int kind = Kind;
};

/** A list of message forms, one for each alternative of a variant. */
template <class... Forms>
struct message_forms
{
    /** Returns the kind of a core message. */
    template <class Core>
    static constexpr int kind_of()
    {
        int kind = 0;
        ((std::is_same_v<Core, typename Forms::core_type>
              ? void(kind = Forms::kind)
              : void()),
         ...);
        return kind;
    }

    /** Writes the struct of a core message. */
    template <class Core>
    static void write(const Core& message, compact_writer& writer)
    {
        (write_if<Forms>(message, writer), ...);
    }

    /** Reads the struct of a kind; returns false when there is none. */
    template <class Variant>
    static bool read(int kind, compact_reader& reader, Variant& message)
    {
        return (read_if<Forms>(kind, reader, message) || ...);
    }

private:
    template <class Form, class Core>
    static void write_if(const Core& message, compact_writer& writer)
    {
        if constexpr (std::is_same_v<Core, typename Form::core_type>) {
            typename Form::wired_type wired;
            to_wire copy;
            copy(message, wired);
            writer.write(wired);
        }
    }

    template <class Form, class Variant>
    static bool read_if(int kind, compact_reader& reader, Variant& message)
    {
        if (kind != Form::kind) {
            return false;
        }
        typename Form::wired_type wired;
        reader.read(wired);
        typename Form::core_type core;
        from_wire copy;
        copy(core, wired);
        message = std::move(core);
        return true;
    }
};

/** Runs a decoder and turns what it throws into a wire_error. */
template <class Result, class Decoder>
std::variant<Result, wire_error> decode_safely(const Decoder& decode)
{
    try {
        return decode();
    } catch (const out_of_range_value& e) {
        return wire_error{wire_fault::out_of_range, e.what()};
    } catch (const apache::thrift::TException& e) {
        return wire_error{wire_fault::malformed, e.what()};
    } catch (const std::bad_alloc&) {
        return wire_error{wire_fault::malformed, "container too large"};
    }
}

} // namespace cranberrywood::wire_detail

#endif
