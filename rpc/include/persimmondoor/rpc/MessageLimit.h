/// Bound on what may be read from a message that comes from outside the process. Pointers of a message may share their targets,
/// so that a small message decodes to a large value. Cap'n Proto counts each visit of a target against the limit, which these
/// options set by the size of the message.
///
/// \code
/// capnp::FlatArrayMessageReader message(words, rpc::readerOptionsFor(words.size()));
/// absl::Status status = rpc::checkTraversal(message, words.size(), "127.0.0.1:4100");
/// \endcode
#pragma once

#include <absl/status/status.h>
#include <capnp/message.h>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace persimmondoor::rpc {

/// Words that may be read from a message for each word of it. Messages are decoded in one pass; the envelope of a call and
/// parts that are looked at before they are decoded are visited more than once.
inline constexpr uint64_t traversalsPerMessage = 8;
/// Words that may be read from any message in addition, so that the envelope of a small one can be read.
inline constexpr uint64_t minimumTraversalWords = 1024;

/// The options for a reader of a message.
/// \param messageWords size of the message, in words of 8 bytes.
capnp::ReaderOptions readerOptionsFor(size_t messageWords);

/// Size of a message, over all its segments, in words of 8 bytes.
size_t sizeInWords(capnp::MessageReader&);

/// Visits everything that is reachable in the message once, which counts against the limit of its reader.
/// \param messageWords size of the message, in words of 8 bytes.
/// \param source where the message came from, for the error.
/// \return InvalidArgument if more than the limit is reachable or the message is malformed.
absl::Status checkTraversal(capnp::MessageReader&, size_t messageWords, std::string_view source);

} // namespace persimmondoor::rpc
