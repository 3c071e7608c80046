// Parts of the encoding that the journal, snapshots and requests share.
#pragma once

#include "Jobs.capnp.h"
#include "persimmondoor/jobs/Record.h"
#include "persimmondoor/rpc/MessageLimit.h"

#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

namespace persimmondoor::jobs {

inline std::string textOf(capnp::Text::Reader text)
{
    return { text.begin(), text.size() };
}

// Reads a name, which may be empty. Names were validated before they were written, so an invalid one means corrupt data.
template <typename NameType>
NameType nameOf(capnp::Text::Reader text)
{
    auto name = NameType::create(textOf(text));
    KJ_REQUIRE(name.ok() || text.size() == 0, "invalid name");
    return name.ok() ? *name : NameType();
}

template <typename Enumeration>
Enumeration enumerationOf(uint16_t value, Enumeration last)
{
    KJ_REQUIRE(value <= static_cast<uint16_t>(last), "enumeration value out of range", value, static_cast<uint16_t>(last));
    return static_cast<Enumeration>(value);
}

inline std::string pack(capnp::MessageBuilder& message)
{
    kj::VectorOutputStream output;
    capnp::writePackedMessage(output, message);
    auto bytes = output.getArray();
    return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

// Applies `read` to the root of a packed message. Returns DataLoss if the message is malformed.
template <typename Root, typename Read>
auto unpack(const std::string& bytes, Read read) -> absl::StatusOr<std::invoke_result_t<Read, typename Root::Reader>>
{
    absl::StatusOr<std::invoke_result_t<Read, typename Root::Reader>> result = absl::DataLossError("the message was not decoded");
    auto failure = kj::runCatchingExceptions([&] {
        kj::ArrayPtr<const kj::byte> packed = kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size());
        kj::ArrayInputStream input(packed);
        // Snapshots may exceed the default limit.
        capnp::PackedMessageReader reader(input, rpc::readerOptionsFor(capnp::computeUnpackedSizeInWords(packed)));
        result = read(reader.getRoot<Root>());
    });
    KJ_IF_MAYBE (error, failure)
        return absl::DataLossError(error->getDescription().cStr());
    return result;
}

// Runs `read` on parts of an open message. Returns InvalidArgument if they are malformed.
template <typename Read>
auto checked(Read read) -> absl::StatusOr<std::invoke_result_t<Read>>
{
    absl::StatusOr<std::invoke_result_t<Read>> result = absl::InvalidArgumentError("the message was not decoded");
    auto failure = kj::runCatchingExceptions([&] { result = read(); });
    KJ_IF_MAYBE (error, failure)
        return absl::InvalidArgumentError(error->getDescription().cStr());
    return result;
}

inline void encodeNames(const std::vector<WorkerName>& names, capnp::List<capnp::Text>::Builder wire)
{
    for (unsigned index = 0; index < wire.size(); ++index)
        wire.set(index, names[index].value());
}

inline std::vector<WorkerName> decodeNames(capnp::List<capnp::Text>::Reader wire)
{
    std::vector<WorkerName> names;
    for (auto name : wire)
        names.push_back(nameOf<WorkerName>(name));
    return names;
}

void encode(const placement::Site&, wire::Site::Builder);
placement::Site readSite(wire::Site::Reader);
// Throws kj::Exception for malformed data.
JobSpec readSpec(wire::Spec::Reader);

} // namespace persimmondoor::jobs
