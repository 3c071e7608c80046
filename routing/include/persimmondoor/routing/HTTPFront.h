/// HTTP front end for callers: a request for `/services/<service>/<path>` is sent to an endpoint of that service. Front
/// ends for other encodings can use the same router.
///
/// | outcome | status | `Persimmondoor-Outcome` |
/// | --- | --- | --- |
/// | done | that of the service instance | `done` |
/// | not run | 503, or 400 for a malformed request | `not-run`, with `Persimmondoor-Reason` |
/// | unknown | 504 | `unknown` |
///
/// \code
/// auto server = http::Server::listen(executor, address, limits, makeHTTPFront(name, router));
/// \endcode
#pragma once

#include "persimmondoor/http/Server.h"
#include "persimmondoor/routing/ClaimsActor.h"
#include "persimmondoor/routing/RouterActor.h"

#include <optional>

namespace persimmondoor::routing {

/// Prefix of the paths of services.
inline constexpr std::string_view servicesPath = "/services/";
/// Request header: time until the caller's deadline, in milliseconds.
inline constexpr std::string_view deadlineHeader = "Persimmondoor-Deadline-Ms";
/// Request header: `trial` puts the request behind the paying requests of its service; `paying` changes nothing.
inline constexpr std::string_view tierHeader = "Persimmondoor-Tier";
/// Request header: `true` or `false`, whether the request is idempotent. Without it, POST and PATCH are not idempotent
/// and all other methods are.
inline constexpr std::string_view idempotentHeader = "Persimmondoor-Idempotent";
/// Request header: names a non-idempotent request, so that a repeat with the same key does not run it again.
inline constexpr std::string_view idempotencyKeyHeader = "Idempotency-Key";
/// Response header: `done`, `not-run` or `unknown`.
inline constexpr std::string_view outcomeHeader = "Persimmondoor-Outcome";
/// Response header: why a request was not run.
inline constexpr std::string_view reasonHeader = "Persimmondoor-Reason";

/// Makes the handler that routes callers' requests.
/// \param process the entry's name, a part of the request ids that it assigns.
/// \param claims stores idempotency keys; without it a non-idempotent request that carries one is refused as "not run".
http::Handler makeHTTPFront(ProcessName process, RouterActor router, std::optional<ClaimsActor> claims = {});

} // namespace persimmondoor::routing
