/// Operators' path `GET /v1/endpoints`: the endpoints that this entry knows, with their load, latency and state.
///
/// \code
/// http::Routes routes;
/// routing::offerEndpoints(routes, router);
/// \endcode
#pragma once

#include "persimmondoor/http/Routes.h"
#include "persimmondoor/routing/RouterActor.h"

namespace persimmondoor::routing {

/// Adds `GET /v1/endpoints`, with the optional query parameter `service`. The answer is `{"endpoints": [...]}`. Each item
/// has `endpoint`, `worker`, `domain`, `service`, `in_flight` (requests of this entry), `running` and `queued` (load in
/// the last answer), `slots`, `latency_us`, `ejected` and `draining`.
void offerEndpoints(http::Routes&, RouterActor);

} // namespace persimmondoor::routing
