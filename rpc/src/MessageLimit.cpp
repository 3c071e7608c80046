#include "persimmondoor/rpc/MessageLimit.h"

#include "persimmondoor/core/Text.h"

#include <capnp/any.h>
#include <kj/exception.h>

namespace persimmondoor::rpc {

capnp::ReaderOptions readerOptionsFor(size_t messageWords)
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = minimumTraversalWords + traversalsPerMessage * messageWords;
    return options;
}

size_t sizeInWords(capnp::MessageReader& message)
{
    size_t words = 0;
    for (unsigned id = 0; message.getSegment(id).begin() != nullptr; ++id)
        words += message.getSegment(id).size();
    return words;
}

absl::Status checkTraversal(capnp::MessageReader& message, size_t messageWords, std::string_view source)
{
    auto failure = kj::runCatchingExceptions([&] { (void)message.getRoot<capnp::AnyPointer>().targetSize(); });
    KJ_IF_MAYBE (error, failure)
        return absl::InvalidArgumentError(concat("a message of ", messageWords, " words from ", std::string(source), " cannot be read, expected at most ",
            readerOptionsFor(messageWords).traversalLimitInWords, " words to be reachable: ", error->getDescription().cStr()));
    return absl::OkStatus();
}

} // namespace persimmondoor::rpc
