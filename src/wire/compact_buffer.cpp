#include "wire/compact_buffer.hpp"

#include <algorithm>

namespace cranberrywood::wire_detail {

namespace {

/** Elements of one container, at most. */
constexpr std::int32_t max_container_size = 16384;
/** Depth of nested structs, at most; unknown fields may nest. */
constexpr int max_depth = 16;

std::shared_ptr<apache::thrift::TConfiguration> limits_for(std::size_t bytes)
{
    const int size = static_cast<int>(std::max<std::size_t>(bytes, 1));
    return std::make_shared<apache::thrift::TConfiguration>(size, size,
                                                            max_depth);
}

std::shared_ptr<apache::thrift::transport::TMemoryBuffer>
memory_over(std::string_view bytes)
{
    // Thrift takes the bytes as non-const but does not write to them under
    // the policy OBSERVE.
    auto* data =
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
    return std::make_shared<apache::thrift::transport::TMemoryBuffer>(
        data, static_cast<std::uint32_t>(bytes.size()),
        apache::thrift::transport::TMemoryBuffer::OBSERVE,
        limits_for(bytes.size()));
}

// Zero would stand for no limit.
std::int32_t string_limit_for(std::string_view bytes)
{
    return static_cast<std::int32_t>(std::max<std::size_t>(bytes.size(), 1));
}

} // namespace

compact_writer::compact_writer()
    : m_memory(std::make_shared<memory>()), m_protocol(m_memory)
{
}

compact_reader::compact_reader(std::string_view bytes)
    : m_memory(memory_over(bytes)),
      m_protocol(m_memory, string_limit_for(bytes), max_container_size)
{
}

} // namespace cranberrywood::wire_detail
