/// Operators' path `GET /v1/endpoints`: what this entry knows of each endpoint.
///
/// \code
/// http::Routes routes;
/// routing::offerEndpoints(routes, router);
/// \endcode
#pragma once

#include "persimmondoor/http/Routes.h"
#include "persimmondoor/routing/RouterActor.h"

namespace persimmondoor::routing {

/// Adds `GET /v1/endpoints`, with the optional query parameter `service`. The answer is `{"endpoints": [...]}` with
/// `endpoint`, `worker`, `domain`, `service`, `in_flight` (of this entry), `running`, `queued` (in the last answer),
/// `slots`, `latency_us`, `ejected` and `draining` for each.
void offerEndpoints(http::Routes&, RouterActor);

} // namespace persimmondoor::routing
