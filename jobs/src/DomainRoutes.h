// HTTP handlers for failure domains.
#pragma once

#include "persimmondoor/jobs/Front.h"

namespace persimmondoor::jobs {

// Returns all domains, or the one that the path names; 404 for an unknown name, and 503 if the store cannot be read.
boost::asio::awaitable<http::Response> showDomains(JobsFront, http::Request);

// Takes a domain out of service or restores it, if the request names the domain's current version. Returns 409 with the
// current state if the domain was changed since that version, 503 if nothing was changed, and 504 if the outcome is unknown.
boost::asio::awaitable<http::Response> changeDomain(JobsFront, http::Request);

} // namespace persimmondoor::jobs
