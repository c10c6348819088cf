#ifndef CRANBERRYWOOD_WIRE_FIELD_COPY_HPP
#define CRANBERRYWOOD_WIRE_FIELD_COPY_HPP

#include "units/ids.hpp"
#include "units/time.hpp"
#include "wire/packed_address.hpp"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <vector>

/**
 * Two directions of copying a message between its core struct and its Thrift
 * struct. A list of field pairs, written once per message as copy_fields,
 * serves both. Each direction has two aliases: core<T> and wired<T>, the
 * reference types of the two sides.
 */
namespace cranberrywood::wire_detail {

/** Base of all directions; lets them find copy_fields by their argument. */
struct direction
{
};

/** A value on the wire that no core value stands for. */
class out_of_range_value : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** Copies from core structs to Thrift structs. */
class to_wire : public direction
{
public:
    template <class T>
    using core = const T&;
    template <class T>
    using wired = T&;

    template <class Tag, class Rep>
    void operator()(strong_value<Tag, Rep> from, std::int64_t& to)
    {
        to = static_cast<std::int64_t>(from.value());
    }
    void operator()(std::uint64_t from, std::int64_t& to)
    {
        to = static_cast<std::int64_t>(from);
    }
    void operator()(std::uint32_t from, std::int32_t& to)
    {
        to = static_cast<std::int32_t>(from);
    }
    void operator()(duration from, std::int64_t& to)
    {
        to = from.count();
    }
    template <class T>
    std::enable_if_t<std::is_same_v<T, bool> || std::is_same_v<T, double> ||
                     std::is_same_v<T, std::string>>
    operator()(const T& from, T& to)
    {
        to = from;
    }
    template <class Enum>
    void choice(Enum from, std::int8_t& to, Enum /*last*/)
    {
        to = static_cast<std::int8_t>(from);
    }
    /** Leaves out a list that is only read. */
    template <class C, class W>
    void append(const std::vector<C>& /*from*/, std::vector<W>& /*to*/)
    {
    }
    void address(const std::string& from, std::int64_t& to)
    {
        to = pack_address(from);
    }
    void milliseconds(duration from, std::int32_t& to)
    {
        using std::chrono::milliseconds;
        to = static_cast<std::int32_t>(
            std::chrono::duration_cast<milliseconds>(from).count());
    }
    template <class C, class W>
    void operator()(const std::vector<C>& from, std::vector<W>& to)
    {
        to.resize(from.size());
        for (std::size_t i = 0; i < from.size(); ++i) {
            (*this)(from[i], to[i]);
        }
    }
    /** Copies a nested message by its own list of fields. */
    template <class C, class W>
    auto operator()(const C& from, W& to)
        -> decltype(copy_fields(*this, from, to))
    {
        copy_fields(*this, from, to);
    }
};

/** Copies from Thrift structs to core structs; throws out_of_range_value. */
class from_wire : public direction
{
public:
    template <class T>
    using core = T&;
    template <class T>
    using wired = const T&;

    template <class Tag, class Rep>
    void operator()(strong_value<Tag, Rep>& to, std::int64_t from)
    {
        to = strong_value<Tag, Rep>(static_cast<Rep>(from));
    }
    void operator()(std::uint64_t& to, std::int64_t from)
    {
        to = static_cast<std::uint64_t>(from);
    }
    void operator()(std::uint32_t& to, std::int32_t from)
    {
        to = static_cast<std::uint32_t>(from);
    }
    void operator()(duration& to, std::int64_t from)
    {
        to = duration(from);
    }
    template <class T>
    std::enable_if_t<std::is_same_v<T, bool> || std::is_same_v<T, double> ||
                     std::is_same_v<T, std::string>>
    operator()(T& to, const T& from)
    {
        to = from;
    }
    /** Adds a list that earlier versions write. */
    template <class C, class W>
    void append(std::vector<C>& to, const std::vector<W>& from)
    {
        std::vector<C> more;
        (*this)(more, from);
        to.insert(to.end(), more.begin(), more.end());
    }
    void address(std::string& to, std::int64_t from)
    {
        to = unpack_address(from);
        if (to.empty()) {
            throw out_of_range_value("address of a VM");
        }
    }
    void milliseconds(duration& to, std::int32_t from)
    {
        to = std::chrono::milliseconds(from);
    }
    template <class Enum>
    void choice(Enum& to, std::int8_t from, Enum last)
    {
        if (from < 0 || from > static_cast<std::int8_t>(last)) {
            throw out_of_range_value("enumerator " + std::to_string(from));
        }
        to = static_cast<Enum>(from);
    }
    template <class C, class W>
    void operator()(std::vector<C>& to, const std::vector<W>& from)
    {
        to.resize(from.size());
        for (std::size_t i = 0; i < from.size(); ++i) {
            (*this)(to[i], from[i]);
        }
    }
    /** Copies a nested message by its own list of fields. */
    template <class C, class W>
    auto operator()(C& to, const W& from)
        -> decltype(copy_fields(*this, to, from))
    {
        copy_fields(*this, to, from);
    }
};

} // namespace cranberrywood::wire_detail

#endif
