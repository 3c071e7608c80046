/// Access to the object store through any of its implementations. Writes are idempotent: a caller that gets no
/// reply may retry them.
///
/// \code
/// absl::Status status = co_await putObject(objects, "snapshot/7/41", bytes);
/// \endcode
#pragma once

#include "persimmondoor/store/HTTPPlatform.h"
#include "persimmondoor/store/MemoryObjects.h"

#include <variant>

namespace persimmondoor::store {

using ObjectClient = std::variant<MemoryObjects, HTTPObjects>;

/// Stores `bytes` under `key` and replaces an object that exists there.
/// \return OK; Unavailable if nothing was stored; DeadlineExceeded if no reply came and the outcome is unknown.
boost::asio::awaitable<absl::Status> putObject(ObjectClient, std::string key, std::string bytes);

/// Reads an object.
/// \return the bytes, or NotFound, Unavailable or DeadlineExceeded.
boost::asio::awaitable<absl::StatusOr<std::string>> getObject(ObjectClient, std::string key);

/// Removes an object. Removing an absent object succeeds.
/// \return the same statuses as `putObject`.
boost::asio::awaitable<absl::Status> removeObject(ObjectClient, std::string key);

/// Lists keys by prefix.
/// \return the keys, or Unavailable, DeadlineExceeded, or InvalidArgument for a malformed answer.
boost::asio::awaitable<absl::StatusOr<std::vector<std::string>>> listObjects(ObjectClient, ObjectList);

} // namespace persimmondoor::store
