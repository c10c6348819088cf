#ifndef CRANBERRYWOOD_UNITS_STRONG_VALUE_HPP
#define CRANBERRYWOOD_UNITS_STRONG_VALUE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>

namespace cranberrywood {

/**
 * Strongly typed number: types with different tags do not convert to each
 * other. Rep is the underlying type.
 */
template <class Tag, class Rep>
class strong_value
{
public:
    using rep = Rep;

    constexpr strong_value() = default;
    constexpr explicit strong_value(Rep value) : m_value(value) {}

    /** Returns the underlying number. */
    constexpr Rep value() const
    {
        return m_value;
    }

    /** Returns whether the value differs from zero, the unset value. */
    constexpr bool is_set() const
    {
        return m_value != Rep{};
    }

    friend constexpr bool operator==(strong_value a, strong_value b)
    {
        return a.m_value == b.m_value;
    }
    friend constexpr bool operator!=(strong_value a, strong_value b)
    {
        return a.m_value != b.m_value;
    }
    friend constexpr bool operator<(strong_value a, strong_value b)
    {
        return a.m_value < b.m_value;
    }
    friend constexpr bool operator<=(strong_value a, strong_value b)
    {
        return a.m_value <= b.m_value;
    }
    friend constexpr bool operator>(strong_value a, strong_value b)
    {
        return b < a;
    }
    friend constexpr bool operator>=(strong_value a, strong_value b)
    {
        return b <= a;
    }

private:
    Rep m_value{};
};

} // namespace cranberrywood

template <class Tag, class Rep>
struct std::hash<cranberrywood::strong_value<Tag, Rep>>
{
    std::size_t operator()(cranberrywood::strong_value<Tag, Rep> v) const
    {
        return std::hash<Rep>()(v.value());
    }
};

#endif
