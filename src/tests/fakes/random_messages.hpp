#ifndef CRANBERRYWOOD_TESTS_FAKES_RANDOM_MESSAGES_HPP
#define CRANBERRYWOOD_TESTS_FAKES_RANDOM_MESSAGES_HPP

#include "core/random_source.hpp"
#include "wire/field_copy.hpp"

namespace cranberrywood::fakes {

/**
 * Third direction over the field lists of the wire: fills the core struct
 * with random values and counts the fields of the outermost message.
 */
class random_fill : public wire_detail::direction
{
public:
    template <class T>
    using core = T&;
    template <class T>
    using wired = const T&;

    explicit random_fill(random_source& random) : m_random(random) {}

    /** Returns the number of fields that were filled. */
    int fields() const
    {
        return m_fields;
    }

    template <class Tag, class Rep>
    void operator()(strong_value<Tag, Rep>& to, std::int64_t)
    {
        to = strong_value<Tag, Rep>(number());
    }
    void operator()(std::uint64_t& to, std::int64_t)
    {
        to = number();
    }
    void operator()(std::uint32_t& to, std::int32_t)
    {
        to = static_cast<std::uint32_t>(number());
    }
    void operator()(duration& to, std::int64_t)
    {
        to = duration(static_cast<std::int64_t>(number()));
    }
    void operator()(bool& to, bool)
    {
        to = number() % 2 == 1;
    }
    void operator()(double& to, double)
    {
        to = static_cast<double>(number()) / 3.0;
    }
    void operator()(std::string& to, const std::string&)
    {
        to = std::string(m_random.below(9), static_cast<char>(number()));
    }
    template <class Enum>
    void choice(Enum& to, std::int8_t, Enum last)
    {
        const auto count = static_cast<std::uint64_t>(last) + 1;
        to = static_cast<Enum>(number() % count);
    }
    template <class C, class W>
    void operator()(std::vector<C>& to, const std::vector<W>&)
    {
        ++m_fields;
        to.resize(m_random.below(4));
        random_fill nested(m_random);
        for (C& element : to) {
            nested(element, W{});
        }
    }
    template <class C, class W>
    auto operator()(C& to, const W& from)
        -> decltype(copy_fields(*this, to, from))
    {
        ++m_fields;
        random_fill nested(m_random);
        copy_fields(nested, to, from);
    }

private:
    // Small and large numbers, since their lengths on the wire differ.
    std::uint64_t number()
    {
        ++m_fields;
        return m_random.next() >> m_random.below(64);
    }

    random_source& m_random;
    int m_fields = 0;
};

/** Converts to the type of any field of an aggregate. */
struct any_field
{
    template <class T>
    operator T() const; // NOLINT: only named in unevaluated operands
};

template <class T, class... Fields>
auto takes_fields(int) -> decltype(T{std::declval<Fields>()...}, true)
{
    return true;
}
template <class T, class... Fields>
bool takes_fields(long)
{
    return false;
}

/** Returns the number of fields of an aggregate. */
template <class T, class... Fields>
int field_count()
{
    if constexpr (sizeof...(Fields) > 16) {
        return -1;
    } else {
        const int more = field_count<T, Fields..., any_field>();
        const int here = static_cast<int>(sizeof...(Fields));
        return more < 0 ? (takes_fields<T, Fields...>(0) ? here : -1) : more;
    }
}

} // namespace cranberrywood::fakes

#endif
