#ifndef CRANBERRYWOOD_WIRE_COMPACT_BUFFER_HPP
#define CRANBERRYWOOD_WIRE_COMPACT_BUFFER_HPP

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace cranberrywood::wire_detail {

/** Writes Thrift structs one behind the other in the compact protocol. */
class compact_writer
{
public:
    compact_writer();

    /** Appends a struct. */
    template <class Struct>
    void write(const Struct& value)
    {
        value.write(&m_protocol);
    }

    /** Returns the bytes written so far. */
    std::string bytes() const
    {
        return m_memory->getBufferAsString();
    }

private:
    using memory = apache::thrift::transport::TMemoryBuffer;
    std::shared_ptr<memory> m_memory;
    apache::thrift::protocol::TCompactProtocolT<memory> m_protocol;
};

/**
 * Reads Thrift structs from bytes that nothing is known of; strings and
 * containers are bounded by the size of the bytes. Throws TException.
 */
class compact_reader
{
public:
    /** The bytes must outlive the reader. */
    explicit compact_reader(std::string_view bytes);

    /** Reads the next struct. */
    template <class Struct>
    void read(Struct& value)
    {
        value.read(&m_protocol);
    }

    /** Returns whether all bytes have been read. */
    bool at_end() const
    {
        return m_memory->available_read() == 0;
    }

private:
    using memory = apache::thrift::transport::TMemoryBuffer;
    std::shared_ptr<memory> m_memory;
    apache::thrift::protocol::TCompactProtocolT<memory> m_protocol;
};

} // namespace cranberrywood::wire_detail

#endif
