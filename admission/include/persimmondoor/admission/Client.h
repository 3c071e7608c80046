/// Sends a request to the agent of a worker.
///
/// \code
/// ServiceAnswer answer = co_await serveAt(link, request);
/// \endcode
#pragma once

#include "persimmondoor/admission/Request.h"
#include "persimmondoor/rpc/Link.h"

namespace persimmondoor::admission {

/// Serves `request` at the agent behind `link`. Without a connection the outcome is "not run"; a connection lost
/// after the request was sent, or no answer in time, gives "unknown".
boost::asio::awaitable<ServiceAnswer> serveAt(rpc::Link, ServiceRequest);

} // namespace persimmondoor::admission
