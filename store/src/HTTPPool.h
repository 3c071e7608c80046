// Sending of calls, shared by the HTTP clients of the platform.
#pragma once

#include "persimmondoor/store/HTTPPlatform.h"

namespace persimmondoor::store {

// Sends an idempotent call, which may be sent again on another connection. Returns the body of a response with status
// 200; otherwise NotFound for 404, InvalidArgument for 400 and 413, Unavailable if the call had no effect, and
// DeadlineExceeded if its outcome is unknown.
boost::asio::awaitable<absl::StatusOr<std::string>> fetch(HTTPPool, http::Request, Duration limit);

} // namespace persimmondoor::store
