/// Client side of the admission interface: sends a request to the agent of a worker over RPC.
///
/// \code
/// ServiceAnswer answer = co_await serveAt(link, request);
/// \endcode
#pragma once

#include "persimmondoor/admission/Request.h"
#include "persimmondoor/rpc/Link.h"

namespace persimmondoor::admission {

/// Sends `request` to the agent at the other end of `link` and waits for its answer until the request's deadline.
/// \return the agent's answer; `NotRun` if there is no connection; `Unknown` if the connection is lost after the
/// request was sent, or if no answer arrives in time.
boost::asio::awaitable<ServiceAnswer> serveAt(rpc::Link, ServiceRequest);

} // namespace persimmondoor::admission
