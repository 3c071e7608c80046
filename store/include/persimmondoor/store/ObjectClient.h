/// Access to the object store through any of its implementations. Writes are idempotent: one whose reply was lost is
/// simply repeated.
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

/// Stores `bytes` under `key`, in place of what was there.
/// \return OK; Unavailable if nothing was stored; DeadlineExceeded if no reply came, which leaves it open.
boost::asio::awaitable<absl::Status> putObject(ObjectClient, std::string key, std::string bytes);

/// \return the bytes, or NotFound, Unavailable or DeadlineExceeded.
boost::asio::awaitable<absl::StatusOr<std::string>> getObject(ObjectClient, std::string key);

/// Removes an object; an absent one is no error.
/// \return as `putObject`.
boost::asio::awaitable<absl::Status> removeObject(ObjectClient, std::string key);

/// \return the keys, or Unavailable or DeadlineExceeded.
boost::asio::awaitable<absl::StatusOr<std::vector<std::string>>> listObjects(ObjectClient, ObjectList);

} // namespace persimmondoor::store
