// Calls of the HTTP clients of the platform.
#pragma once

#include "persimmondoor/store/HTTPPlatform.h"

namespace persimmondoor::store {

// Sends a call that may be repeated, with the body of a 200 as the result.
// Returns NotFound for 404, InvalidArgument for 400, Unavailable if nothing was done, and DeadlineExceeded if that is
// not known.
boost::asio::awaitable<absl::StatusOr<std::string>> fetch(HTTPPool, http::Request, Duration limit);

} // namespace persimmondoor::store
